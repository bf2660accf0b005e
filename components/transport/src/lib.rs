//! Links between processes, their keys, disks, and the clocks.

pub mod clock;
pub mod descriptor;
pub mod disk;
pub mod frame;
pub mod link;
pub mod tls;
pub mod wal;
