use super::*;

#[test]
fn what_is_held_is_bound_by_both_and_what_is_not_by_the_settings_alone() {
    let keyed = |window| Idempotency::Keyed { scope: IdempotencyScope::All, window };
    let map = |of: &[(&str, Idempotency)]| {
        of.iter().map(|(n, e)| ((*n).to_owned(), *e)).collect::<ClassIdempotency>()
    };
    let before = map(&[
        ("a", Idempotency::NonIdempotent),
        ("b", keyed(5)),
        ("c", Idempotency::NonIdempotent),
        ("gone", Idempotency::NonIdempotent),
    ]);
    let now = map(&[
        ("a", Idempotency::Idempotent),
        ("b", keyed(9)),
        ("c", keyed(3)),
        ("new", Idempotency::Idempotent),
    ]);
    let held = ["a", "b", "gone", "new"].map(str::to_owned).into();
    let joined = merged(&before, &now, &held);
    let expected = [
        ("a", Idempotency::NonIdempotent),
        ("b", keyed(5)),
        ("c", keyed(3)),
        ("new", Idempotency::Idempotent),
    ];
    assert_eq!(joined, map(&expected));
}

#[test]
fn it_is_read_as_it_was_written_and_says_what_is_wrong_with_it() {
    let folder = tempfile::tempdir().unwrap();
    assert_eq!(read(folder.path()), Ok(ClassIdempotency::new()));
    let keyed = Idempotency::Keyed { scope: IdempotencyScope::Zone, window: 7 };
    let meanings: ClassIdempotency =
        [("a".to_owned(), keyed), ("b".to_owned(), Idempotency::NonIdempotent)].into();
    write(folder.path(), &meanings).unwrap();
    let length = fs::metadata(folder.path().join(FILE)).unwrap().len();
    assert!(reserved(["a", "b"].into_iter()) >= 2 * length.next_multiple_of(BLOCK));
    assert_eq!(read(folder.path()), Ok(meanings));
    fs::write(folder.path().join(FILE), "{").unwrap();
    assert!(read(folder.path()).unwrap_err().contains("classes: "));
    let long: ClassIdempotency = [("x".repeat(MAX_BYTES), Idempotency::NonIdempotent)].into();
    assert!(write(folder.path(), &long).unwrap_err().contains("over 8192 bytes"));
}
