//! The shells: tokio tasks that turn sockets, timers and files into events and actions into I/O.

mod args;
mod control;
mod entry;
mod forward;
mod link;
mod listen;
mod logging;
mod metrics;
mod packets;
mod peers;
mod publish;
mod registrar;
mod saved;
mod stop;
mod subscribe;
mod uplink;
mod writer;

pub use args::settings_from_args;
pub use control::run_control;
pub use entry::run_entry;
pub use forward::{ForwardHandle, ForwardSettings, PacketForm, start_forwarder};
pub(crate) use listen::listen;
pub use logging::{init_logging, init_stdout_logging};
pub use registrar::{Registrar, RegistrarSettings, start_registrar};
pub use stop::stop_signal;
