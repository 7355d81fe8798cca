//! Parsing of the text form of settings.

use std::time::Duration;

use mothspool::settings_format::{SettingsFormatError, parse_settings};
use mothspool::*;

#[test]
fn reads_known_settings_skips_unknown_ones_and_defaults_absent_ones() {
    let text = "balancers=2\nrank=1\nnew.key=1\nservices.count=1\nservices.0.idempotency=token\n\
                services.0.dedup_scope=cell\nservices.0.window_us=4000000\nparties.count=1\n\
                parties.0.quota_rps=52.0\ndiscovery=subscribe\nobligations.ask_every_us=10000000\n";
    let settings = parse_settings(text.as_bytes()).unwrap();
    assert_eq!(
        settings.classes[0].idempotency,
        Idempotency::IdempotentWithKey {
            scope: IdempotencyScope::Cell,
            window: Duration::from_micros(4_000_000)
        }
    );
    assert_eq!(
        (settings.node_count, settings.node_index, settings.tenants[0].quota_per_second),
        (2, 1, 52.0)
    );
    assert_eq!(settings.discovery, DiscoveryMode::Poll { interval: Duration::from_micros(10_000_000) });
    assert_eq!((settings.max_attempts, settings.cancellation, settings.hedging), (1, false, false));
    let count = parse_settings(b"services.count=4000000000").unwrap_err();
    assert!(count.to_string().contains("services.count"));
}

#[test]
fn weights_and_overload_multiple_are_parsed() {
    let read = |text: &str| parse_settings(text.as_bytes()).unwrap();
    let explicit = read("weights=live\nobligations.fall_multiple=2.5\n");
    assert!(explicit.load_dependent_weights && explicit.overload_multiple == 2.5);
    let default = read("weights=nominal\n");
    assert!(
        !default.load_dependent_weights && default.overload_multiple == Settings::default().overload_multiple
    );
}

#[test]
fn errors_name_the_setting_and_its_value() {
    let message = |text: &str| parse_settings(text.as_bytes()).unwrap_err().to_string();
    let cases = [
        ("rank=first", "setting rank is 'first', expected a whole number up to 4294967295"),
        ("step_us=soon", "setting step_us is 'soon', expected a number"),
        ("allowed.cancelling=2", "setting allowed.cancelling is '2', expected true or false"),
        ("discovery=dns", "setting discovery is 'dns', expected automatic or subscribe"),
        (
            "services.count=1\nservices.0.dedup_scope=rack",
            "setting services.0.dedup_scope is 'rack', expected all, zone or cell",
        ),
        (
            "services.count=1\nservices.0.idempotency=maybe",
            "setting services.0.idempotency is 'maybe', expected pure, token or side_effect",
        ),
    ];
    for (text, expected) in cases {
        assert_eq!(message(text), expected);
    }
    let not_utf8 = parse_settings(b"rank=\xff").unwrap_err();
    assert!(matches!(not_utf8, SettingsFormatError::NotUtf8(_)), "{not_utf8}");
    let too_many = SettingsFormatError::TooManyObjects { list: "parties", count: 2, settings: 1 };
    assert_eq!(parse_settings(b"parties.count=2").unwrap_err(), too_many);
}
