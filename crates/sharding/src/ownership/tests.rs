//! Destinations are spread evenly, and a migration changes the owner of one destination only.

use super::*;

#[test]
fn destinations_are_spread_evenly_and_a_migration_changes_one_owner_only() {
    for count in [1, 2, 3, 4, 8] {
        let ownership = OwnershipMap::hashed(count);
        for range in [7..15u16, 0..64, 1000..1064] {
            let per_shard = |shard| range.clone().filter(|d| ownership.owner(*d) == ShardId(shard)).count();
            let (least, most) =
                (0..count as u8).map(per_shard).fold((99, 0), |(l, m), n| (l.min(n), m.max(n)));
            assert!(least > 0 && most - least <= 2, "{count} shards, {range:?}: {least} to {most}");
        }
        let to = ShardId(count as u8 - 1);
        let migrated = ownership.with(7, to);
        assert!((0..500).all(|d| migrated.owner(d) == if d == 7 { to } else { ownership.owner(d) }));
        assert_eq!(
            migrated.with(7, ownership.owner(7)).overrides(),
            0,
            "migrated back to its home, it has no override"
        );
    }
    assert!((0..500).all(|d| OwnershipMap::all_on(4, ShardId(0)).owner(d) == ShardId(0)));
    let ownership = OwnershipMap::hashed(3).with(7, ShardId(1)).with(8, ShardId(2));
    let drained = ownership.with_drained(ShardId(1));
    assert!((0..500).all(|d| drained.owner(d)
        == if ownership.owner(d) == ShardId(1) { ShardId(0) } else { ownership.owner(d) }));
    assert!(!drained.all_drained() && drained.with_drained(ShardId(2)).all_drained());
    let migrated_later = drained.with_drained(ShardId(2)).with(7, ShardId(2));
    assert!(
        (0..500).all(|d| migrated_later.owner(d) == ShardId(if d == 7 { 2 } else { 0 })),
        "a later migration takes effect"
    );
}
