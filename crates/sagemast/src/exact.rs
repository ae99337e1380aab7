//! How a checkpoint keeps what JSON has no numbers for.

/// The state of the random numbers, in hexadecimal digits.
pub(crate) mod rng {
    use oorandom::Rand64;
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub fn serialize<S: Serializer>(rng: &Rand64, to: S) -> Result<S::Ok, S::Error> {
        let (state, increment) = rng.state();
        [state, increment].map(|part| format!("{part:x}")).serialize(to)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Rand64, D::Error> {
        let [state, increment] = <[String; 2]>::deserialize(from)?;
        let part = |text: &str| u128::from_str_radix(text, 16).map_err(D::Error::custom);
        Ok(Rand64::from_state((part(&state)?, part(&increment)?)))
    }
}
