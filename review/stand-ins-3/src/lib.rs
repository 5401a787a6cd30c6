//! Stand-ins of the third review: the platform that starts the processes of a cell, its workers, and clients.
//!
//! Everything listens on loopback addresses. The processes are started with the command of the deploy file and with
//! settings as its template renders them.

pub mod cell;
pub mod http;
pub mod record;
pub mod worker;
