use super::*;

#[test]
fn merges_the_stricter_idempotency_for_pending_classes_only() {
    let keyed = |window| Idempotency::Keyed { scope: IdempotencyScope::All, window };
    let classes = |entries: &[(&str, Idempotency)]| {
        entries
            .iter()
            .map(|(name, idempotency)| ((*name).to_owned(), *idempotency))
            .collect::<ClassIdempotency>()
    };
    let recorded = classes(&[
        ("a", Idempotency::NonIdempotent),
        ("b", keyed(5)),
        ("c", Idempotency::NonIdempotent),
        ("gone", Idempotency::NonIdempotent),
    ]);
    let configured = classes(&[
        ("a", Idempotency::Idempotent),
        ("b", keyed(9)),
        ("c", keyed(3)),
        ("new", Idempotency::Idempotent),
    ]);
    let pending = ["a", "b", "gone", "new"].map(str::to_owned).into();
    let merged_classes = merged(&recorded, &configured, &pending);
    let expected = [
        ("a", Idempotency::NonIdempotent),
        ("b", keyed(5)),
        ("c", keyed(3)),
        ("new", Idempotency::Idempotent),
    ];
    assert_eq!(merged_classes, classes(&expected));
}

#[test]
fn round_trips_and_reports_invalid_or_long_files() {
    let folder = tempfile::tempdir().unwrap();
    assert_eq!(read(folder.path()), Ok(ClassIdempotency::new()));
    let keyed = Idempotency::Keyed { scope: IdempotencyScope::Zone, window: 7 };
    let classes: ClassIdempotency =
        [("a".to_owned(), keyed), ("b".to_owned(), Idempotency::NonIdempotent)].into();
    write(folder.path(), &classes).unwrap();
    let length = fs::metadata(folder.path().join(FILE)).unwrap().len();
    assert!(reserved(["a", "b"].into_iter()) >= 2 * length.next_multiple_of(BLOCK_BYTES));
    assert_eq!(read(folder.path()), Ok(classes));
    fs::write(folder.path().join(FILE), "{").unwrap();
    assert!(read(folder.path()).unwrap_err().contains("classes: "));
    let too_long: ClassIdempotency = [("x".repeat(MAX_BYTES), Idempotency::NonIdempotent)].into();
    assert!(write(folder.path(), &too_long).unwrap_err().contains("over 8192 bytes"));
}
