//! Leases never exceed the total, and shards that are short are returned as concerned.

use super::*;

/// A shard transfers more than its lease: only its lease is transferred, so that the sum stays the same.
#[test]
fn no_more_is_transferred_than_is_leased() {
    let mut pool = LeasePool::new(4, 2);
    assert_eq!(pool.update(ShardId(0), 0, 2).lease, 3);
    pool.transfer(ShardId(0), ShardId(1), 9);
    assert_eq!((pool.lease(ShardId(0)), pool.lease(ShardId(1)), pool.free()), (0, 3, 1));
}

#[test]
fn a_shard_that_is_short_is_concerned_by_released_units() {
    let mut pool = LeasePool::new(4, 2);
    assert_eq!(pool.update(ShardId(0), 4, 4).lease, 4);
    let short = pool.update(ShardId(1), 0, 1);
    assert_eq!(
        (short.lease, short.concerned),
        (0, vec![]),
        "all units are in use, so no shard can release any"
    );
    let released = pool.update(ShardId(0), 3, 3);
    assert_eq!((released.lease, released.concerned), (3, vec![ShardId(1)]));
    assert_eq!(pool.update(ShardId(1), 0, 1).lease, 1);
}
