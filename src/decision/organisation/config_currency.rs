//! Whether the configuration of a daemon that may be out of touch still decides on keys.

use crate::common::*;

/// Treatment of keys at a daemon that does not know whether its configuration is the newest one.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRules {
    /// Whether requests with keys are refused once the configuration has not been confirmed for
    /// `revoke_s`. Otherwise the last known keys stay valid.
    pub fail_closed: bool,
    /// Time in seconds within which a key that was taken away may still be accepted.
    pub revoke_s: f64,
}

impl Default for KeyRules {
    fn default() -> Self {
        Self {
            fail_closed: false,
            revoke_s: 5.0,
        }
    }
}

/// Time at which the store, or a peer that reads it, last confirmed the configuration.
#[derive(Debug)]
pub struct ConfigCurrency {
    rules: KeyRules,
    confirmed_at: Option<Instant>,
}

impl ConfigCurrency {
    /// Creates the state of a daemon whose configuration has not been confirmed.
    pub fn new(rules: KeyRules) -> Self {
        Self {
            rules,
            confirmed_at: None,
        }
    }

    /// Replaces the rules.
    pub fn set_rules(&mut self, rules: KeyRules) {
        self.rules = rules;
    }

    /// Records that the configuration in force was the newest one at `now`.
    pub fn confirm(&mut self, now: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(now));
    }

    /// Returns whether the keys of the configuration in force may be accepted.
    pub fn accepts_keys(&self, now: Instant) -> bool {
        if !self.rules.fail_closed {
            return true;
        }
        let limit = Duration::try_from_secs_f64(self.rules.revoke_s).unwrap_or_default();
        self.confirmed_at
            .is_some_and(|at| now.saturating_duration_since(at) <= limit)
    }
}
