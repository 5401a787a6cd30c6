//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines with the time since the start of the case.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    /// Creates `record.txt` in `dir`.
    pub fn create(dir: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(dir.join("record.txt"))?),
            started: Instant::now(),
        })
    }

    /// Seconds since the start of the case.
    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes a line, also to the standard output.
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}", self.seconds(), text.as_ref());
        println!("{line}");
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{line}");
        }
    }

    /// Writes a line to the file only.
    pub fn detail(&self, text: impl AsRef<str>) {
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{:8.3} {}", self.seconds(), text.as_ref());
        }
    }
}
