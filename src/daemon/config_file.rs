//! The last known configuration of an entry VM, saved on its disk.

use std::{
    fs::{self, File},
    io::Write,
    path::{Path, PathBuf},
    sync::{Arc, Mutex, PoisonError},
};

use crate::{
    error::{Error, Result},
    state::State,
};

const FILE_NAME: &str = "configuration";
/// Length of the CRC-32 in front of the encoded state, in bytes.
const CHECKSUM_LEN: usize = 4;

/// Handle to the saved configuration.
#[derive(Clone)]
pub(super) struct ConfigFile {
    folder: PathBuf,
    /// Index of the last written configuration; the lock serialises writes.
    last_index: Arc<Mutex<u64>>,
}

impl ConfigFile {
    /// Opens the data folder and reads the saved configuration.
    ///
    /// A damaged file is treated as absent: the VM fetches the configuration from other VMs.
    ///
    /// # Errors
    ///
    /// Fails when the folder cannot be used.
    pub(super) fn open(folder: &Path) -> Result<(ConfigFile, State)> {
        fs::create_dir_all(folder).map_err(|err| {
            let message = format!("cannot be used ({err}); choose a writable folder");
            Error::storage(message).with_path(folder.display().to_string())
        })?;
        let bytes = fs::read(folder.join(FILE_NAME)).unwrap_or_default();
        let state = decode(&bytes);
        let last_index = Arc::new(Mutex::new(state.as_ref().map_or(0, |state| state.index)));
        let file = ConfigFile { folder: folder.to_owned(), last_index };
        if state.is_none() && !bytes.is_empty() {
            log::warn!("the saved configuration is damaged; fetching it from other VMs");
        }
        Ok((file, state.unwrap_or_default()))
    }

    /// Replaces the saved configuration with `state`, unless the saved one is as new or newer. The
    /// replacement is atomic: a crash leaves either the old or the new file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written or synced.
    pub(super) fn write(&self, state: &State) -> Result<()> {
        let mut last_index = self.last_index.lock().unwrap_or_else(PoisonError::into_inner);
        if state.index <= *last_index {
            return Ok(());
        }
        let body = postcard::to_stdvec(state)
            .map_err(|err| Error::storage(format!("cannot encode the configuration: {err}")))?;
        let next = self.folder.join(format!("{FILE_NAME}.next"));
        let mut file = File::create(&next)?;
        file.write_all(&crc32fast::hash(&body).to_le_bytes())?;
        file.write_all(&body)?;
        file.sync_all()?;
        fs::rename(&next, self.folder.join(FILE_NAME))?;
        File::open(&self.folder)?.sync_all()?;
        *last_index = state.index;
        Ok(())
    }
}

fn decode(bytes: &[u8]) -> Option<State> {
    let (checksum, body) = bytes.split_first_chunk::<CHECKSUM_LEN>()?;
    let intact = crc32fast::hash(body) == u32::from_le_bytes(*checksum);
    intact.then(|| postcard::from_bytes(body).ok())?
}
