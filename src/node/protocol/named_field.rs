//! Names of fields in the errors of `serde`, which says by itself what is wrong and where, but not with which
//! field.

/// Defines, for each of the fields, a function for `#[serde(deserialize_with = "...")]` that accepts what the
/// field's type accepts, and names the field in its errors.
macro_rules! named_fields {
    ($($field:ident),+ $(,)?) => {$(
        pub(super) fn $field<'de, D, T>(deserializer: D) -> Result<T, D::Error>
        where
            D: serde::Deserializer<'de>,
            T: serde::Deserialize<'de>,
        {
            T::deserialize(deserializer).map_err(|error| {
                serde::de::Error::custom(format_args!("{}: {error}", stringify!($field)))
            })
        }
    )+};
}

pub(crate) use named_fields;
