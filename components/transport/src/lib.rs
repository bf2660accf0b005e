//! Links between processes, their certificates, the storage of control VMs, and clocks.

pub mod clock;
pub mod descriptor;
pub mod disk;
pub mod frame;
pub mod link;
pub mod origins;
pub mod tls;
pub mod wal;
