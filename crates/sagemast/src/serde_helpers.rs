//! Serde helpers for values that JSON cannot represent as numbers.

/// Serializes the state of the random number generator as two strings of hexadecimal digits, since its
/// 128-bit integers do not fit into JSON numbers.
pub(crate) mod rng {
    use oorandom::Rand64;
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub fn serialize<S: Serializer>(rng: &Rand64, serializer: S) -> Result<S::Ok, S::Error> {
        let (state, increment) = rng.state();
        [state, increment].map(|part| format!("{part:x}")).serialize(serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Rand64, D::Error> {
        let [state, increment] = <[String; 2]>::deserialize(deserializer)?;
        let part = |text: &str| u128::from_str_radix(text, 16).map_err(D::Error::custom);
        Ok(Rand64::from_state((part(&state)?, part(&increment)?)))
    }
}

/// Serializes a map as a list of key-value pairs, since JSON keys cannot be numbers.
pub(crate) mod map_as_pairs {
    use std::collections::BTreeMap;

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub fn serialize<K: Serialize, V: Serialize, S: Serializer>(
        map: &Option<BTreeMap<K, V>>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        map.as_ref().map(|map| map.iter().collect::<Vec<_>>()).serialize(serializer)
    }

    pub fn deserialize<'de, K, V, D>(deserializer: D) -> Result<Option<BTreeMap<K, V>>, D::Error>
    where
        K: Deserialize<'de> + Ord,
        V: Deserialize<'de>,
        D: Deserializer<'de>,
    {
        Ok(Option::<Vec<(K, V)>>::deserialize(deserializer)?.map(|pairs| pairs.into_iter().collect()))
    }
}
