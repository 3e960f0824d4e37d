//! The error type of the library.

use std::{error, fmt, io};

/// Result of the library's fallible functions.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of the library. Boxed, so that it is one pointer wide.
///
/// The message says what is wrong and how to fix it.
///
/// ```
/// let err = galenatrail::check_name("Hub").unwrap_err();
/// assert!(err.is_config());
/// assert!(err.to_string().contains("lower-case"));
/// ```
pub struct Error {
    inner: Box<Inner>,
}

struct Inner {
    code: ErrorCode,
    path: Box<str>,
}

#[derive(Debug)]
pub(crate) enum ErrorCode {
    /// Invalid settings, or an address or file of the settings that cannot be used.
    Settings(Box<str>),
    /// Invalid configuration or configuration change.
    Config(Box<str>),
    /// Change based on a revision that is not the current one.
    Conflict(Box<str>),
    /// Damaged or unusable data folder.
    Storage(Box<str>),
    /// Malformed message.
    Protocol(&'static str),
    /// The call cannot be answered now.
    Unavailable(Box<str>),
    /// Failed system call.
    Io(io::Error),
    /// Message to a service that is not registered in the kernel.
    UnknownService(Box<str>),
}

impl Error {
    #[cold]
    pub(crate) fn new(code: ErrorCode) -> Error {
        Error { inner: Box::new(Inner { code, path: Box::from("") }) }
    }

    /// Sets the file, key path or tree path to which the error refers.
    #[cold]
    pub(crate) fn with_path(mut self, path: impl Into<Box<str>>) -> Error {
        self.inner.path = path.into();
        self
    }

    #[cold]
    pub(crate) fn invalid_name(text: &str) -> Error {
        let message = format!(
            "{text:?} is no name; use 1 to 63 lower-case letters, digits and inner hyphens"
        );
        Error::config(message)
    }

    #[cold]
    pub(crate) fn settings(message: impl Into<Box<str>>) -> Error {
        Error::new(ErrorCode::Settings(message.into()))
    }

    #[cold]
    pub(crate) fn config(message: impl Into<Box<str>>) -> Error {
        Error::new(ErrorCode::Config(message.into()))
    }

    #[cold]
    pub(crate) fn conflict(message: impl Into<Box<str>>) -> Error {
        Error::new(ErrorCode::Conflict(message.into()))
    }

    #[cold]
    pub(crate) fn storage(message: impl Into<Box<str>>) -> Error {
        Error::new(ErrorCode::Storage(message.into()))
    }

    #[cold]
    pub(crate) fn protocol(message: &'static str) -> Error {
        Error::new(ErrorCode::Protocol(message))
    }

    #[cold]
    pub(crate) fn unavailable(message: impl Into<Box<str>>) -> Error {
        Error::new(ErrorCode::Unavailable(message.into()))
    }

    #[cold]
    pub(crate) fn unknown_service(name: &str) -> Error {
        Error::new(ErrorCode::UnknownService(name.into()))
    }

    /// Returns whether the settings are invalid or cannot be used.
    pub fn is_settings(&self) -> bool {
        matches!(self.inner.code, ErrorCode::Settings(_))
    }

    /// Returns whether a configuration or configuration change is invalid.
    pub fn is_config(&self) -> bool {
        matches!(self.inner.code, ErrorCode::Config(_))
    }

    /// Returns whether a change is based on a revision that is not the current one.
    pub fn is_conflict(&self) -> bool {
        matches!(self.inner.code, ErrorCode::Conflict(_))
    }

    /// Returns whether the data folder is damaged or cannot be written.
    pub fn is_storage(&self) -> bool {
        matches!(self.inner.code, ErrorCode::Storage(_))
    }

    /// Returns whether a received message was malformed.
    pub fn is_protocol(&self) -> bool {
        matches!(self.inner.code, ErrorCode::Protocol(_))
    }

    /// Returns whether the same call may succeed later or on another VM.
    pub fn is_unavailable(&self) -> bool {
        matches!(self.inner.code, ErrorCode::Unavailable(_))
    }

    /// Returns the file, key path or tree path to which the error refers, if any.
    pub fn path(&self) -> Option<&str> {
        (!self.inner.path.is_empty()).then_some(&self.inner.path)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(path) = self.path() {
            write!(f, "{path}: ")?;
        }
        match &self.inner.code {
            ErrorCode::Settings(message)
            | ErrorCode::Config(message)
            | ErrorCode::Conflict(message)
            | ErrorCode::Storage(message)
            | ErrorCode::Unavailable(message) => f.write_str(message),
            ErrorCode::Protocol(message) => f.write_str(message),
            ErrorCode::Io(err) => write!(f, "{err}"),
            ErrorCode::UnknownService(name) => {
                write!(f, "no service named {name:?}; register it before the first event")
            }
        }
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Error({:?}, path: {:?})", self.inner.code, self.inner.path)
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match &self.inner.code {
            ErrorCode::Io(err) => Some(err),
            _ => None,
        }
    }
}

impl From<io::Error> for Error {
    #[cold]
    fn from(err: io::Error) -> Error {
        Error::new(ErrorCode::Io(err))
    }
}
