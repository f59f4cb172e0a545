//! The endpoints for the platform's balancer and for target announcements.
