//! Transport between the system's own processes: QUIC with mutual TLS.
