//! Bounded queue of one-way messages to one peer.

use std::collections::VecDeque;

use auburnbridge_types::ByteSize;

/// FIFO queue that drops its oldest messages to stay within its limits.
#[derive(Debug)]
pub struct SendQueue {
    messages: VecDeque<Vec<u8>>,
    bytes: u64,
    message_limit: usize,
    byte_limit: ByteSize,
}

impl SendQueue {
    /// Creates a queue of at most `message_limit` messages and `byte_limit` bytes.
    pub fn new(message_limit: usize, byte_limit: ByteSize) -> Self {
        Self {
            messages: VecDeque::new(),
            bytes: 0,
            message_limit,
            byte_limit,
        }
    }

    /// Adds a message and returns the number of dropped messages.
    ///
    /// A message that exceeds the limits by itself empties the queue and is dropped too.
    pub fn push(&mut self, message: Vec<u8>) -> usize {
        self.bytes += message.len() as u64;
        self.messages.push_back(message);
        let mut dropped = 0;
        while self.messages.len() > self.message_limit || self.bytes > self.byte_limit.0 {
            self.pop();
            dropped += 1;
        }
        dropped
    }

    /// Removes and returns the oldest message.
    pub fn pop(&mut self) -> Option<Vec<u8>> {
        let message = self.messages.pop_front()?;
        self.bytes -= message.len() as u64;
        Some(message)
    }

    /// Drops all messages and returns their number.
    pub fn clear(&mut self) -> usize {
        self.bytes = 0;
        let count = self.messages.len();
        self.messages.clear();
        count
    }
}
