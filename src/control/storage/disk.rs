//! File operations on a data folder, behind a trait so that tests can inject failures.

use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io::{self, Write},
    path::{Path, PathBuf},
};

use crate::error::{Error, Result};

const LOCK_FILE: &str = "lock";
const TEMP_SUFFIX: &str = ".new";

/// File operations on one data folder.
pub trait Disk: Send {
    /// Returns the names of all files.
    ///
    /// # Errors
    ///
    /// Fails when the folder cannot be read.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Returns the contents of a file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read.
    fn read(&self, file: &str) -> io::Result<Vec<u8>>;

    /// Appends to a file, creating it if it is missing. The bytes are not durable until
    /// [`Disk::sync`].
    ///
    /// # Errors
    ///
    /// Fails when the bytes cannot be written; some of them may have been written.
    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()>;

    /// Syncs a file to disk.
    ///
    /// # Errors
    ///
    /// Fails when some of the data may not be durable.
    fn sync(&mut self, file: &str) -> io::Result<()>;

    /// Atomically replaces a file: after a crash it has either the old or the new contents.
    ///
    /// # Errors
    ///
    /// Fails when the new contents may not be durable.
    fn replace(&mut self, file: &str, bytes: &[u8]) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be removed.
    fn remove(&mut self, file: &str) -> io::Result<()>;
}

/// A directory of the file system, locked against other processes.
pub struct DirDisk {
    folder: PathBuf,
    open: Option<(String, File)>,
    _lock: File,
}

impl DirDisk {
    /// Opens `folder`, creating it if it is missing, and locks it.
    ///
    /// # Errors
    ///
    /// Fails when the folder cannot be used or is locked by another process.
    pub fn new(folder: &Path) -> Result<DirDisk> {
        fs::create_dir_all(folder)?;
        let lock = File::create(folder.join(LOCK_FILE))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                let message = "the data folder is locked by another process; stop it or choose another folder";
                return Err(Error::storage(message).with_path(folder.display().to_string()));
            }
            Err(TryLockError::Error(err)) => return Err(err.into()),
        }
        Ok(DirDisk { folder: folder.to_path_buf(), open: None, _lock: lock })
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if self.open.as_ref().is_none_or(|(open, _)| open != name) {
            let path = self.folder.join(name);
            let file = OpenOptions::new().append(true).create(true).open(path)?;
            self.sync_folder()?;
            self.open = Some((name.to_owned(), file));
        }
        let (_, file) = self.open.as_mut().expect("the file was opened above");
        Ok(file)
    }
}

impl Disk for DirDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            if name != LOCK_FILE && !name.ends_with(TEMP_SUFFIX) {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, file: &str) -> io::Result<Vec<u8>> {
        fs::read(self.folder.join(file))
    }

    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(file)?.write_all(bytes)
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        self.file(file)?.sync_data()
    }

    fn replace(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.open = None;
        let temp = self.folder.join(format!("{file}{TEMP_SUFFIX}"));
        let mut new = File::create(&temp)?;
        new.write_all(bytes)?;
        new.sync_all()?;
        fs::rename(&temp, self.folder.join(file))?;
        self.sync_folder()
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        fs::remove_file(self.folder.join(file))
    }
}
