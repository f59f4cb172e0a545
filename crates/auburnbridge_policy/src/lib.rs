//! Pure decisions about target health, ejection, selection, admission and retries.
