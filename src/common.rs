//! Derive sets and identifier types shared by every module.

/// Derives for values that are stored, compared and written as JSON or TOML.
macro_rules! record {
    ($($item:tt)*) => {
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        #[serde(deny_unknown_fields)]
        $($item)*
    };
}

/// Derives for small values that are compared and copied in memory.
macro_rules! plain {
    ($($item:tt)*) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        $($item)*
    };
}

/// Declares a string identifier: ordered, hashable, written as a plain string.
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
            /// Wraps `text` as an identifier.
            pub fn new(text: impl Into<String>) -> Self {
                Self(text.into())
            }

            /// The identifier as text.
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
