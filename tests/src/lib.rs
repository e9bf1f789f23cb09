//! Real-process tests of a whole site.
