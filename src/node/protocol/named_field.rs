//! Adds the names of fields to the errors of `serde`, which state only the cause and the position.

/// Defines a function for each field, for use in `#[serde(deserialize_with = "...")]`. It deserializes the
/// type of the field and adds the field's name to errors.
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
