use super::*;

#[test]
fn keeps_all_fields_and_their_order() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("host", &b"origin.svc"[..]),
        ("x-empty", b""),
        ("x-colons", b":a: b:"),
        ("x-many", b"second:\xff\xfe"),
        ("x-many", b"first"),
        ("x-many", b""),
    ] {
        headers.append(HeaderName::from_static(name), HeaderValue::from_bytes(value).unwrap());
    }
    let compact = CompactHeaders::from(&headers);
    assert_eq!(compact.to_map(3), headers);
    assert!(CompactHeaders::from(&HeaderMap::new()).to_map(0).is_empty());
}
