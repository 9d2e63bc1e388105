//! The platform's object service and VM list.
