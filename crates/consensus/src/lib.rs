//! See `docs/ARCHITECTURE.md`.
