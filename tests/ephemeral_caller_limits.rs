//! Limits on what callers may hold in an entry, without a network.

use winghold::ephemeral::caller_connections::{Admission, CallerConnections};
use winghold::ephemeral::instance_resources::InstanceResources;
use winghold::ephemeral::request_memory::{NoMemory, RequestMemory, UNCOUNTED_BYTES};
use winghold::time::Moment;

const MIB: u64 = 1 << 20;

fn at(mono_us: u64) -> Moment {
    Moment {
        mono_us,
        wall_ms: 0,
    }
}

/// Guards against new callers that are kept out by connections that wait or send for ever.
#[test]
fn the_connection_that_waits_longest_is_closed_for_a_new_one() {
    let connections = CallerConnections::new(3);
    let (first, mut first_closed, _) = connections.open(at(1)).unwrap();
    let (_second, mut second_closed, _) = connections.open(at(2)).unwrap();
    let (_third, mut third_closed, admission) = connections.open(at(3)).unwrap();
    assert_eq!(admission, Admission::Free);
    first.begin_serving();
    first.end_serving(at(4));
    let (_fourth, _closed, admission) = connections.open(at(5)).unwrap();
    assert_eq!(admission, Admission::ClosedOldest);
    assert!(second_closed.try_recv().is_ok());
    assert!(first_closed.try_recv().is_err());
    assert!(third_closed.try_recv().is_err());
    assert_eq!(connections.len(), 3);
}

/// Guards against losing a request that is being served to make room for another connection.
#[test]
fn a_connection_whose_request_is_served_is_never_closed() {
    let connections = CallerConnections::new(2);
    let (first, mut first_closed, _) = connections.open(at(1)).unwrap();
    let (second, mut second_closed, _) = connections.open(at(2)).unwrap();
    first.begin_serving();
    second.begin_serving();
    assert!(connections.open(at(3)).is_none());
    drop(second);
    let (_third, _closed, admission) = connections.open(at(4)).unwrap();
    assert_eq!(admission, Admission::Free);
    assert!(first_closed.try_recv().is_err());
    assert!(
        second_closed.try_recv().is_err(),
        "ended by itself, not closed"
    );
}

/// Guards against large requests that take the memory of ordinary ones, or are never given back.
#[test]
fn only_large_requests_share_the_memory() {
    let memory = RequestMemory::new(100);
    let mut large = memory.begin_request();
    assert_eq!(large.resize(UNCOUNTED_BYTES + 60), Ok(()));
    let mut other = memory.begin_request();
    assert_eq!(other.resize(UNCOUNTED_BYTES + 41), Err(NoMemory::Now));
    assert_eq!(other.resize(UNCOUNTED_BYTES + 101), Err(NoMemory::Ever));
    assert_eq!(other.resize(u64::MAX), Err(NoMemory::Ever));
    assert_eq!(other.resize(UNCOUNTED_BYTES), Ok(()));
    assert_eq!(memory.used_bytes(), 60);
    assert_eq!(large.resize(UNCOUNTED_BYTES + 10), Ok(()));
    assert_eq!(other.resize(UNCOUNTED_BYTES + 90), Ok(()));
    drop(large);
    drop(other);
    assert_eq!(memory.used_bytes(), 0);
}

/// Guards against limits that together exceed the instance, whatever its size.
#[test]
fn the_limits_leave_room_for_the_process_itself() {
    let descriptors = [0, 100, 201, 1_024, 4_100, 16_384];
    let sizes = [0, 1, 48, 120, 160, 260, 1_024];
    for (memory_mb, descriptors) in sizes
        .into_iter()
        .flat_map(|mb| descriptors.map(|fds| (mb, fds)))
    {
        let resources = InstanceResources {
            memory_bytes: memory_mb * MIB,
            descriptors,
        };
        let connections = resources.max_connections() as u64;
        assert!(connections >= 1, "{resources:?}");
        assert!(connections <= descriptors.max(1), "{resources:?}");
        let callers_bytes = connections * UNCOUNTED_BYTES + resources.request_memory_bytes();
        assert!(
            callers_bytes <= (resources.memory_bytes * 3 / 4).max(UNCOUNTED_BYTES),
            "{resources:?}"
        );
    }
}
