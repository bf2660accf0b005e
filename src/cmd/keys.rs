//! `cowslipford keys`: the fleet's authority and its VMs' certificates.

use super::Failure;
use crate::cli::Keys;
use errors::{Error, Result};
use state::id::Name;
use std::fs;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use transport::tls::{self, Identity};

/// Makes what is missing.
pub(crate) fn run(args: &Keys) -> Result<(), Failure> {
    let mut vms = Vec::new();
    for vm in &args.vms {
        let name = Name::try_from(vm.as_str())
            .map_err(|allowed| Failure::Input(format!("{vm:?}: {allowed}")))?;
        vms.push(name);
    }
    make(&args.folder, &vms)?;
    say!(
        "{}: authority and {} certificates",
        args.folder.display(),
        vms.len()
    );
    Ok(())
}

/// Makes an authority, unless there is one, and certificates for these VMs.
pub(crate) fn make(folder: &Path, vms: &[Name]) -> Result<()> {
    fs::create_dir_all(folder).map_err(Error::file("make a folder", folder))?;
    let certificate = folder.join("authority.pem");
    let key = folder.join("authority.key");
    let authority = if certificate.exists() && key.exists() {
        Identity {
            certificate: read(&certificate)?,
            key: read(&key)?,
        }
    } else {
        let made = tls::create_authority()?;
        write(&certificate, &made.certificate, 0o644)?;
        write(&key, &made.key, 0o600)?;
        made
    };
    for vm in vms {
        let pair = tls::issue_certificate(&authority, vm)?;
        write(&folder.join(format!("{vm}.pem")), &pair.certificate, 0o644)?;
        write(&folder.join(format!("{vm}.key")), &pair.key, 0o600)?;
    }
    Ok(())
}

fn read(path: &Path) -> Result<String> {
    fs::read_to_string(path).map_err(Error::file("read", path))
}

fn write(path: &Path, text: &str, mode: u32) -> Result<()> {
    let opened = fs::OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .mode(mode)
        .open(path);
    let mut file = opened.map_err(Error::file("write", path))?;
    file.write_all(text.as_bytes())
        .map_err(Error::file("write", path))
}
