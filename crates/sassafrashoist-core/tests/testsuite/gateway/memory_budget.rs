use sassafrashoist_core::gateway::memory_budget::{BASE_BYTES, HolderKind, MemoryBudget};
use sassafrashoist_core::gateway::request_limit::RequestLimit;

const MEGABYTE: u64 = 1024 * 1024;
/// The length of a piece in which holders take memory.
const PIECE_BYTES: u64 = 8 * 1024;

fn limit() -> RequestLimit {
    RequestLimit::of_memory(Some(110 * MEGABYTE))
}

/// Lets holders take memory in turns until none may hold more; returns what each one holds.
fn fill(budget: &mut MemoryBudget, holder_count: usize) -> Vec<u64> {
    let mut shares = vec![0; holder_count];
    let mut is_full = false;
    while !is_full {
        is_full = true;
        for share in &mut shares {
            if budget.try_hold(HolderKind::Response, limit(), holder_count, *share, PIECE_BYTES) {
                *share += PIECE_BYTES;
                is_full = false;
            }
        }
    }
    shares
}

// 500 responses without end held 272 MiB on a VM of 110.
#[test]
fn sum_of_all_holders_is_bounded() {
    for holder_count in [1, 2, 20, 200, 500, 1_000] {
        let mut budget = MemoryBudget::default();

        fill(&mut budget, holder_count);

        let base_bytes = holder_count as u64 * BASE_BYTES;
        let max_bytes = limit().max_held_bytes(holder_count).max(base_bytes);
        assert!(budget.held_bytes() <= max_bytes, "{holder_count}: {}", budget.held_bytes());
    }
}

#[test]
fn holders_that_take_all_they_can_hold_alike() {
    let mut budget = MemoryBudget::default();

    let shares = fill(&mut budget, 200);

    let (least, most) = (shares.iter().min().unwrap(), shares.iter().max().unwrap());
    assert!(most - least <= 2 * PIECE_BYTES, "{least} to {most}");
}

#[test]
fn a_few_holders_leave_memory_to_others() {
    let mut budget = MemoryBudget::default();
    fill(&mut budget, 4);

    let holds = budget.try_hold(HolderKind::Response, limit(), 5, 0, 2 * MEGABYTE);

    assert!(holds);
}

#[test]
fn a_base_is_held_however_little_is_free() {
    let mut budget = MemoryBudget::default();
    budget.hold(HolderKind::Response, 200 * MEGABYTE);

    let holds = [BASE_BYTES, BASE_BYTES]
        .map(|bytes| budget.try_hold(HolderKind::Response, limit(), 1_000, 0, bytes));
    let holds_more = budget.try_hold(HolderKind::Response, limit(), 1_000, BASE_BYTES, 1);

    assert_eq!((holds, holds_more), ([true, true], false));
}

// 17 callers with bodies of 4 MiB made a VM of 110 MB end.
#[test]
fn long_bodies_are_refused_when_few_more_would_fit() {
    let hold_bodies = |kind| {
        let mut budget = MemoryBudget::default();
        (0..17).filter(|_| budget.try_hold(kind, limit(), 17, 0, 4 * MEGABYTE)).count()
    };

    let held = [HolderKind::Response, HolderKind::RequestBody].map(hold_bodies);

    assert_eq!(held, [7, 4]);
}

// Callers that announced long bodies and sent nothing had the streams of others broken off.
#[test]
fn request_bodies_leave_memory_for_responses() {
    let mut budget = MemoryBudget::default();
    let kind = HolderKind::RequestBody;
    let mut body_bytes = 4 * MEGABYTE;
    while body_bytes > BASE_BYTES {
        if !budget.try_hold(kind, limit(), 60, 0, body_bytes) {
            body_bytes /= 2;
        }
    }

    let holds = budget.try_hold(HolderKind::Response, limit(), 60, 0, 4 * MEGABYTE);

    assert!(holds, "{} bytes held", budget.held_bytes());
}

#[test]
fn returned_memory_can_be_held_again() {
    let mut budget = MemoryBudget::default();
    let share = fill(&mut budget, 1)[0];
    budget.release(HolderKind::Response, share);

    let share_again = fill(&mut budget, 1)[0];

    assert_eq!((share_again, budget.held_bytes()), (share, share));
}

#[test]
fn vm_without_a_memory_limit_holds_everything() {
    let mut budget = MemoryBudget::default();

    let holds =
        budget.try_hold(HolderKind::Response, RequestLimit::of_memory(None), 1_000, 0, 1 << 40);

    assert!(holds);
}
