use sassafrashoist_core::gateway::server_paths::{ReachCounts, ServerPaths};

#[test]
fn counts_show_the_last_connection_to_each_server() {
    let mut paths = ServerPaths::default();
    for (server_id, has_opened) in [("a", true), ("b", true), ("b", false), ("c", false)] {
        paths.record_connection(server_id, has_opened);
    }
    paths.retain(|server_id| server_id != "c");

    let counts = paths.counts();

    assert_eq!(counts, ReachCounts { reached: 1, failed: 1 });
}
