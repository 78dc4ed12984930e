//! Macros that all modules use: common sets of derives, and string identifiers.

/// Derives for values that are read and written as JSON or TOML. Unknown fields are rejected.
macro_rules! record {
    ($($item:tt)*) => {
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        #[serde(deny_unknown_fields)]
        $($item)*
    };
}

/// Derives for small values that are copied, compared and used as keys.
macro_rules! plain {
    ($($item:tt)*) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        $($item)*
    };
}

/// Declares an identifier type around a string; it is serialized as a plain string.
macro_rules! id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Creates an identifier from `text`.
            pub fn new(text: impl Into<String>) -> Self {
                Self(text.into())
            }

            /// Returns the identifier as a string.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_owned())
            }
        }
    };
}

pub(crate) use id;
pub(crate) use plain;
pub(crate) use record;
