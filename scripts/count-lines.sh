#!/usr/bin/env bash
# Counts lines of Rust code by subject, including blank lines and comments but not generated code.
set -euo pipefail
cd "$(dirname "$0")/.."

count() {
  local name=$1
  shift
  local lines
  lines=$({ git ls-files "$@" | grep '\.rs$' | grep -v 'proto/src/generated' || true; } | xargs -r cat | wc -l)
  printf '%-28s %6d\n' "$name" "$lines"
}

core=crates/sassafrashoist-core/src
count "budgets and ownership" "$core/budgets" "$core/owner"
count "outcomes and retries" "$core/requests"
count "routing, limits, orders" "$core/routing" "$core/orders"
count "membership" "$core/membership"
count "bundle" crates/sassafrashoist-bundle/src
count "router process" crates/sassafrashoist/src
count "operator's command" crates/sassafrasctl/src
count "platform, proto" crates/sassafrashoist-platform/src crates/sassafrashoist-proto/src
count "stand-ins, experiments" crates/sassafrashoist-testkit/src crates/sassafrashoist-testkit/examples
count "tests and benches" 'crates/*/tests/*' 'crates/*/benches/*'
