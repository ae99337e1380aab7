use super::*;

fn class(effect: Effect) -> PlatformClass {
    PlatformClass { name: "post".to_owned(), effect, client_limit_ms: 1_000.0 }
}

fn keyed() -> PlatformClass {
    class(Effect::ByKey { window_ms: 4_000.0 })
}

fn path(text: &str) -> Match {
    Match { path: Some(path_pattern(text).expect(text)), ..Match::default() }
}

fn with(mut base: Match, name: &str, value: &str) -> Match {
    base.headers.insert(name.to_owned(), HeaderIs::Like(header_pattern(value).expect(value)));
    base
}

#[test]
fn paths_lie_inside_across_or_apart() {
    let lie = |a: &str, b: &str| relation(&keyed(), &path(a), &path(b)).expect("soon compared");
    assert_eq!(lie("/post/a", "/post/b"), Relation::Apart);
    assert_eq!(lie("/post/a", "/post/{x}"), Relation::Inside);
    assert_eq!(lie("/post/**", "/post/{x}"), Relation::Around);
    assert!(matches!(lie("/post/{x}", "/post/{y}"), Relation::Same(_)));
    assert!(matches!(lie("/{any}/**", "/post/**"), Relation::Same(_)), "within the class they are alike");
    let Relation::Crossing(witness) = lie("/post/a/{x}", "/post/{x}/b") else { panic!("they cross") };
    assert_eq!(witness.to_string(), "POST /post/a/b");
}

/// A pattern of a header and a prefix of another's path that meet in very few requests.
#[test]
fn a_rare_overlap_is_found_with_its_witness() {
    let nightly = with(Match::default(), "x-batch", "nightly-*-closing");
    let office = with(path("/post/office/**"), "x-batch", "*-7f3a9c21-*");
    let Relation::Crossing(witness) = relation(&keyed(), &nightly, &office).expect("soon compared") else {
        panic!("they cross")
    };
    let batch = &witness.headers["x-batch"];
    assert!(batch.starts_with("nightly-") && batch.ends_with("-closing") && batch.contains("-7f3a9c21-"));
    assert!(witness.path.starts_with("/post/office"), "{witness}");
    let other = with(path("/post/office/**"), "x-batch", "daily-*");
    assert_eq!(relation(&keyed(), &nightly, &other), Ok(Relation::Apart));
}

#[test]
fn what_narrower_ones_leave_is_found() {
    let wide = path("/post/**");
    let present =
        Match { headers: BTreeMap::from([("x-a".to_owned(), HeaderIs::Present)]), ..Match::default() };
    let absent =
        Match { headers: BTreeMap::from([("x-a".to_owned(), HeaderIs::Absent)]), ..Match::default() };
    let rest = left_over(&keyed(), &wide, &[&present]).expect("soon found").expect("there is one");
    assert!(rest.without.contains("x-a"), "{rest}");
    assert_eq!(left_over(&keyed(), &wide, &[&present, &absent]), Ok(None), "together they take all");
    let keyless = Match {
        headers: BTreeMap::from([("idempotency-key".to_owned(), HeaderIs::Absent)]),
        ..Match::default()
    };
    assert_eq!(left_over(&keyed(), &keyless, &[]), Ok(None), "a keyed request has its key");
    assert!(left_over(&class(Effect::Once), &keyless, &[]).expect("soon found").is_some());
}

#[test]
fn nonsense_is_no_pattern() {
    for text in ["post", "//post", "/a/**/b", "/a/{}", "/a*", "/a?b", "/a b", "/{a}b"] {
        assert!(path_pattern(text).is_err(), "{text}");
    }
    assert!(path_prefix("/a/{b}").is_err());
    assert_eq!(path_prefix("/a/"), path_prefix("/a"));
    assert!(header_pattern(" a").is_err() && header_pattern("a\nb").is_err());
    assert!(path_pattern(&"/x".repeat(64)).is_err() && path_pattern(&"/x".repeat(63)).is_ok());
}
