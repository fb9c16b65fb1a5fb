//! Leases never exceed the total, and whoever is short is named.

use super::*;

/// Guards the sum: a shard that transfers more than its lease transfers its lease.
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
    assert_eq!((short.lease, short.concerned), (0, vec![]), "all is in use: nobody can release anything");
    let freed = pool.update(ShardId(0), 3, 3);
    assert_eq!((freed.lease, freed.concerned), (3, vec![ShardId(1)]));
    assert_eq!(pool.update(ShardId(1), 0, 1).lease, 1);
}
