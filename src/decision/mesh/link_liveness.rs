//! Detection of connections to peers that went silent.

use crate::common::*;

/// Interval of the checks while a response is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(120);

/// Time without received data after which a connection with pending calls is closed. The peer
/// responds to a ping at once, also while its backend server is busy.
const CALL_SILENCE_LIMIT: Duration = Duration::from_millis(400);

/// The same without pending calls, when the loss of the connection delays no request.
const IDLE_SILENCE_LIMIT: Duration = Duration::from_millis(800);

/// Delay beyond which a late check shows that this process was paused. The time without received
/// data is then not attributed to the peer.
const MAX_CHECK_DELAY: Duration = Duration::from_millis(600);

/// What to do after a check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LivenessAction {
    /// Nothing.
    Wait,
    /// Send a ping.
    Ping,
    /// Close the connection, on which nothing was received for this time.
    Close(Duration),
}

/// Detection of silence on one connection. A peer that sends nothing is told from one that cannot
/// be reached any more only while it owes a response, so idle connections are pinged regularly.
#[derive(Debug)]
pub struct LinkLiveness {
    last_received: Instant,
    last_check: Instant,
    next_check: Instant,
    is_pong_due: bool,
}

impl LinkLiveness {
    /// Creates the state of a new connection.
    pub fn new(now: Instant) -> Self {
        Self {
            last_received: now,
            last_check: now,
            next_check: now + CHECK_INTERVAL,
            is_pong_due: false,
        }
    }

    /// Records received data.
    pub fn record_received(&mut self, now: Instant) {
        self.last_received = now;
        self.is_pong_due = false;
    }

    /// Records that messages are about to be sent, and returns whether to add a ping, which idle
    /// connections get with each load message. `has_sent_calls` is whether earlier calls wait for
    /// their results. If no response was due, the time without received data counts from now.
    pub fn record_send(&mut self, has_sent_calls: bool, has_load: bool, now: Instant) -> bool {
        if has_sent_calls || self.is_pong_due {
            return false;
        }
        self.last_received = now;
        self.last_check = now;
        self.next_check = now + CHECK_INTERVAL;
        self.is_pong_due = has_load;
        has_load
    }

    /// Returns whether the peer owes the response to a ping.
    pub fn is_pong_due(&self) -> bool {
        self.is_pong_due
    }

    /// Returns when to check next while a response is due.
    pub fn next_check(&self) -> Instant {
        self.next_check
    }

    /// Checks the connection. `has_pending_calls` is whether calls wait to be sent or for their
    /// results.
    pub fn check(&mut self, has_pending_calls: bool, now: Instant) -> LivenessAction {
        if now > self.last_check + CHECK_INTERVAL + MAX_CHECK_DELAY {
            self.last_received = now;
        }
        self.last_check = now;
        self.next_check = now + CHECK_INTERVAL;
        let silence = now.saturating_duration_since(self.last_received);
        let limit = if has_pending_calls {
            CALL_SILENCE_LIMIT
        } else {
            IDLE_SILENCE_LIMIT
        };
        if silence > limit {
            LivenessAction::Close(silence)
        } else if has_pending_calls && silence > CHECK_INTERVAL {
            LivenessAction::Ping
        } else {
            LivenessAction::Wait
        }
    }
}
