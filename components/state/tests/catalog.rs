//! The catalog of software versions: what each service has ever had.

use rstest::rstest;
use state::catalog::{Catalog, Joined, Versions, SERVICES_MAX};
use state::config::{Draft, Endpoint};
use state::id::{Name, Software};
use state::record::{Record, Release};
use state::store::Store;

#[expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]
fn name(text: &str) -> Name {
    Name::try_from(text.to_owned()).unwrap()
}

fn joined(joined: &[(&str, &str)]) -> Joined {
    let pair = |(service, version): &(&str, &str)| (name(service), Software::of(version));
    joined.iter().map(pair).collect()
}

fn sole(version: &str) -> Option<Versions> {
    Some(Versions::Sole(Software::of(version)))
}

/// Guards against a version that counts as the only one although another one has been in use, however
/// long ago.
#[rstest]
#[case::none(&[], None)]
#[case::one(&["v1", "v1"], sole("v1"))]
#[case::unstated(&[""], sole(""))]
#[case::two(&["v1", "v2"], Some(Versions::Several))]
#[case::one_again(&["v1", "v2", "v1", "v1"], Some(Versions::Several))]
#[case::unstated_and_stated(&["", "v1"], Some(Versions::Several))]
fn remembers_whether_a_service_has_had_one_version(
    #[case] joined: &[&str],
    #[case] versions: Option<Versions>,
) {
    let mut catalog = Catalog::default();
    for version in joined {
        catalog.join(&name("chat"), Software::of(version));
    }
    assert_eq!(catalog.versions(&name("chat")), versions);
    assert_eq!(catalog.versions(&name("other")), None);
}

/// Guards against endpoints that are used before their version has joined.
#[test]
fn admits_the_versions_that_have_joined() {
    let mut catalog = Catalog::default();
    let chat = name("chat");
    assert!(!catalog.admits(&chat, Software::of("v1")));
    catalog.join(&chat, Software::of("v1"));
    assert!(catalog.admits(&chat, Software::of("v1")));
    assert!(!catalog.admits(&chat, Software::of("v2")));
    catalog.join(&chat, Software::of("v2"));
    // A third version changes nothing: streams of unknown origin are rejected already.
    assert!(catalog.admits(&chat, Software::of("v3")));
}

/// Guards against an upgraded fleet that takes the versions of today, or of a service that has no
/// endpoint at the moment, for those of all time.
#[test]
fn knows_no_versions_from_before_the_catalog() {
    let mut catalog = Catalog::default();
    catalog.begin([name("chat"), name("files")].into_iter());
    catalog.join(&name("chat"), Software::of("v1"));
    catalog.join(&name("files"), Software::UNSTATED);
    catalog.join(&name("new"), Software::of("v1"));
    assert_eq!(catalog.versions(&name("chat")), Some(Versions::Several));
    assert_eq!(catalog.versions(&name("files")), sole(""));
    assert_eq!(catalog.versions(&name("new")), sole("v1"));
    catalog.begin(std::iter::once(name("later")));
    catalog.join(&name("later"), Software::of("v1"));
    assert_eq!(catalog.versions(&name("later")), sole("v1"));
}

/// Guards against a service that is forgotten, and then counts as one that never had a version.
#[test]
fn counts_services_beyond_its_bound_as_mixed() {
    let mut catalog = Catalog::default();
    for n in 0..SERVICES_MAX {
        catalog.join(&name(&format!("s-{n}")), Software::of("v1"));
    }
    let one_more = name("one-more");
    catalog.join(&one_more, Software::of("v1"));
    assert_eq!(catalog.versions(&one_more), Some(Versions::Several));
    assert_eq!(catalog.versions(&name("s-0")), sole("v1"));
}

fn release(number: u64, endpoints: &[Endpoint]) -> Record {
    Record::Release(Box::new(Release {
        number,
        document: Vec::new(),
        draft: Draft {
            endpoints: endpoints.to_vec(),
            ..Draft::default()
        },
    }))
}

/// Guards against configured endpoints, which state no version, that have left before listed ones
/// with a version come.
#[test]
fn remembers_configured_endpoints() {
    let mut store = Store::default();
    store.apply(&Record::Versions(joined(&[])));
    let endpoint = Endpoint {
        name: name("chat-1"),
        service: name("chat"),
        address: ([127, 0, 0, 1], 80).into(),
        data_centre: name("dc"),
        region: name("main"),
        slots: 1,
        prefetch: 0,
        software: Software::UNSTATED,
    };
    store.apply(&release(1, &[endpoint]));
    store.apply(&release(2, &[]));
    assert_eq!(store.catalog.versions(&name("chat")), sole(""));
    store.apply(&Record::Versions(joined(&[("chat", "v1")])));
    assert_eq!(
        store.catalog.versions(&name("chat")),
        Some(Versions::Several)
    );
}
