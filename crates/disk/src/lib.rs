//! disk
