//! Event loops of the daemons: Tokio tasks that feed events from sockets, timers and files to the
//! state machines and carry out the actions that these return.

mod args;
mod clock;
mod config_file;
mod control;
mod control_client;
mod entry;
mod feed_snapshot;
mod forward;
mod link;
mod logging;
mod metrics;
mod peers;
mod presence;
mod publish;
mod registrar;
mod stop;
mod subscribe;
mod tickets;
mod udp;
mod writer;

pub use args::settings_from_args;
pub use control::run_control;
pub use entry::run_entry;
pub(crate) use feed_snapshot::{fetch_feed_snapshot, fetch_unnamed_servers};
pub use forward::{ForwarderHandle, ForwarderSettings, PacketCodec, start_forwarder};
pub use logging::{init_logging, init_stdout_logging};
pub use registrar::{Registrar, RegistrarSettings, start_registrar};
pub use stop::stop_signal;
