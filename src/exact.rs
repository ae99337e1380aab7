//! How a checkpoint keeps what JSON has no numbers for: times that never were, and the random numbers' state.

/// A time that may be infinite.
pub(crate) mod time {
    use std::fmt::Formatter;

    use serde::de::{Error, Unexpected, Visitor};
    use serde::{Deserializer, Serializer};

    pub fn serialize<S: Serializer>(time: &f64, to: S) -> Result<S::Ok, S::Error> {
        if time.is_finite() { to.serialize_f64(*time) } else { to.collect_str(time) }
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
        from.deserialize_any(Time)
    }

    struct Time;

    impl Visitor<'_> for Time {
        type Value = f64;

        fn expecting(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
            f.write_str("a number, or an infinite one as text")
        }

        fn visit_f64<E: Error>(self, time: f64) -> Result<f64, E> {
            Ok(time)
        }

        fn visit_u64<E: Error>(self, time: u64) -> Result<f64, E> {
            Ok(time as f64)
        }

        fn visit_i64<E: Error>(self, time: i64) -> Result<f64, E> {
            Ok(time as f64)
        }

        fn visit_str<E: Error>(self, text: &str) -> Result<f64, E> {
            let time = text.parse().ok().filter(|time: &f64| time.is_infinite());
            time.ok_or_else(|| E::invalid_value(Unexpected::Str(text), &self))
        }
    }
}

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
