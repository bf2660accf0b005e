//! `cowslipford keys`: creates the fleet's certificate authority and the certificates of its VMs.

use super::Failure;
use crate::cli::Keys;
use errors::{Error, Result};
use state::id::Name;
use std::fs;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use transport::tls::{self, Identity};

/// Creates the files and prints a summary.
pub(crate) fn run(args: &Keys) -> Result<(), Failure> {
    let mut vms = Vec::new();
    for vm in &args.vms {
        let name = Name::try_from(vm.as_str())
            .map_err(|allowed| Failure::Input(format!("{vm:?}: {allowed}")))?;
        vms.push(name);
    }
    create(&args.folder, &vms)?;
    print_line!(
        "{}: certificate authority and {} VM certificates",
        args.folder.display(),
        vms.len()
    );
    Ok(())
}

/// Creates a certificate authority in `folder` unless it has one, and issues a certificate to
/// each VM, in place of an earlier one.
pub(crate) fn create(folder: &Path, vms: &[Name]) -> Result<()> {
    fs::create_dir_all(folder).map_err(Error::file("create a folder", folder))?;
    let certificate = folder.join("authority.pem");
    let key = folder.join("authority.key");
    let authority = if certificate.exists() && key.exists() {
        Identity {
            certificate: read(&certificate)?,
            key: read(&key)?,
        }
    } else {
        let created = tls::create_authority()?;
        write(&certificate, &created.certificate, 0o644)?;
        write(&key, &created.key, 0o600)?;
        created
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

/// Writes a file, created with this mode.
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
