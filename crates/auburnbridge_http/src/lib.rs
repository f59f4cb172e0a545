//! HTTP/1.1 framing guard: reads and writes whole messages on a byte stream.
