//! TLS: the fleet's certificate authority, the certificates of its VMs, and the configurations of
//! links.

use errors::{Error, Result};
use rcgen::{
    BasicConstraints, CertificateParams, DistinguishedName, DnType, ExtendedKeyUsagePurpose, IsCa,
    Issuer, KeyPair, KeyUsagePurpose,
};
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::crypto::CryptoProvider;
use rustls::server::WebPkiClientVerifier;
use rustls::{DigitallySignedStruct, SignatureScheme};
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer, ServerName, UnixTime};
use state::id::Name;
use std::path::Path;
use std::sync::Arc;

/// Application protocol (ALPN) that both sides of a link must agree on.
const ALPN_PROTOCOL: &[u8] = b"cowslipford/1";

/// A certificate with its private key, as PEM text.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Certificate.
    pub certificate: String,
    /// Private key.
    pub key: String,
}

/// Creates a certificate authority for a fleet.
///
/// # Errors
///
/// When the key cannot be generated.
pub fn create_authority() -> Result<Identity> {
    let step = "create the fleet's authority";
    let key = KeyPair::generate().map_err(Error::key(step))?;
    let certificate = authority_params()
        .self_signed(&key)
        .map_err(Error::key(step))?;
    Ok(Identity {
        certificate: certificate.pem(),
        key: key.serialize_pem(),
    })
}

/// Parameters of an authority's certificate.
fn authority_params() -> CertificateParams {
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params.distinguished_name = DistinguishedName::new();
    let name = "cowslipford fleet authority";
    params.distinguished_name.push(DnType::CommonName, name);
    params
}

/// Issues a certificate for a VM, with a new key.
///
/// # Errors
///
/// When the authority's key is invalid.
pub fn issue_certificate(authority: &Identity, vm: &Name) -> Result<Identity> {
    let step = "issue a certificate";
    let issuer_key = KeyPair::from_pem(&authority.key).map_err(Error::key(step))?;
    let issuer_params = authority_params();
    let issuer = Issuer::from_params(&issuer_params, issuer_key);
    let mut params = CertificateParams::new(vec![server_name(vm)]).map_err(Error::key(step))?;
    params.distinguished_name = DistinguishedName::new();
    params
        .distinguished_name
        .push(DnType::CommonName, vm.as_str());
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    let key = KeyPair::generate().map_err(Error::key(step))?;
    let certificate = params.signed_by(&key, &issuer).map_err(Error::key(step))?;
    Ok(Identity {
        certificate: certificate.pem(),
        key: key.serialize_pem(),
    })
}

/// Server name in a VM's certificate.
pub fn server_name(vm: &Name) -> String {
    format!("{vm}.vm.cowslipford.internal")
}

/// Whether a peer's certificate is issued to `vm`.
pub fn is_issued_to(certificate: &CertificateDer<'_>, vm: &Name) -> bool {
    let Ok(name) = ServerName::try_from(server_name(vm)) else {
        return false;
    };
    webpki::EndEntityCert::try_from(certificate)
        .is_ok_and(|c| c.verify_is_valid_for_subject_name(&name).is_ok())
}

/// Certificates and key with which a process opens and accepts links.
#[derive(Clone, Debug)]
pub struct Credentials {
    /// Certificate of the authority that must have issued the certificates of all peers. Without an
    /// authority, a peer's claim to be a certain VM is not verified.
    authority: Option<CertificateDer<'static>>,
    certificate: CertificateDer<'static>,
    key: Arc<PrivateKeyDer<'static>>,
}

impl Credentials {
    /// Reads the authority's certificate, this VM's certificate and its key from files.
    ///
    /// # Errors
    ///
    /// When a file cannot be read or has another content.
    pub fn read(authority: &Path, certificate: &Path, key: &Path) -> Result<Self> {
        Ok(Credentials {
            authority: Some(read_certificate(authority)?),
            certificate: read_certificate(certificate)?,
            key: Arc::new(
                PrivateKeyDer::from_pem_file(key).map_err(|e| file_error(key, &e.to_string()))?,
            ),
        })
    }

    /// Generates a key for this start of the process only, and trusts every peer.
    ///
    /// Links are encrypted, but whoever can reach the address of the links can impersonate any VM
    /// of the fleet. This is for networks that only the fleet's VMs can reach, and where no secret
    /// can be distributed before they start.
    ///
    /// # Errors
    ///
    /// When the key cannot be generated.
    pub fn unauthenticated(vm: &Name) -> Result<Self> {
        let step = "generate a key for this start";
        let key = KeyPair::generate().map_err(Error::key(step))?;
        let params = CertificateParams::new(vec![server_name(vm)]).map_err(Error::key(step))?;
        let certificate = params.self_signed(&key).map_err(Error::key(step))?;
        let private = PrivateKeyDer::try_from(key.serialize_der());
        Ok(Credentials {
            authority: None,
            certificate: certificate.der().clone(),
            key: Arc::new(private.map_err(Error::key(step))?),
        })
    }

    /// Whether peers must show a certificate of the fleet's authority.
    pub fn verifies_peers(&self) -> bool {
        self.authority.is_some()
    }

    /// Parses certificates and key from PEM texts.
    ///
    /// # Errors
    ///
    /// When a text has another content.
    pub fn from_pem(authority: &str, pair: &Identity) -> Result<Self> {
        let step = "read keys";
        let certificate =
            |text: &str| CertificateDer::from_pem_slice(text.as_bytes()).map_err(Error::key(step));
        Ok(Credentials {
            authority: Some(certificate(authority)?),
            certificate: certificate(&pair.certificate)?,
            key: Arc::new(
                PrivateKeyDer::from_pem_slice(pair.key.as_bytes()).map_err(Error::key(step))?,
            ),
        })
    }

    /// Root certificates that peers are verified against; `None` without an authority.
    fn root_store(&self) -> Result<Option<Arc<rustls::RootCertStore>>> {
        let Some(authority) = &self.authority else {
            return Ok(None);
        };
        let mut roots = rustls::RootCertStore::empty();
        roots
            .add(authority.clone())
            .map_err(Error::key("read the authority's certificate"))?;
        Ok(Some(Arc::new(roots)))
    }

    /// TLS configuration for accepting links. With an authority, peers need a certificate issued by
    /// it.
    ///
    /// # Errors
    ///
    /// When the keys do not fit each other.
    pub fn server_config(&self) -> Result<rustls::ServerConfig> {
        let step = "prepare to accept links";
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let builder = rustls::ServerConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(Error::key(step))?;
        let builder = match self.root_store()? {
            Some(roots) => {
                let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider)
                    .build()
                    .map_err(Error::key(step))?;
                builder.with_client_cert_verifier(verifier)
            }
            None => builder.with_no_client_auth(),
        };
        let mut config = builder
            .with_single_cert(vec![self.certificate.clone()], self.key.clone_key())
            .map_err(Error::key(step))?;
        config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        Ok(config)
    }

    /// TLS configuration for opening links.
    ///
    /// # Errors
    ///
    /// When the keys do not fit each other.
    pub fn client_config(&self) -> Result<rustls::ClientConfig> {
        let step = "prepare to open links";
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let builder = rustls::ClientConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(Error::key(step))?;
        let mut config = match self.root_store()? {
            Some(roots) => builder
                .with_root_certificates(roots)
                .with_client_auth_cert(vec![self.certificate.clone()], self.key.clone_key())
                .map_err(Error::key(step))?,
            None => builder
                .dangerous()
                .with_custom_certificate_verifier(Arc::new(AnyCertificate(provider)))
                .with_no_client_auth(),
        };
        config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        Ok(config)
    }
}

/// Verifier that accepts any certificate, but requires the peer to prove that it has the key.
#[derive(Debug)]
struct AnyCertificate(Arc<CryptoProvider>);

impl ServerCertVerifier for AnyCertificate {
    fn verify_server_cert(
        &self,
        _end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        _ocsp_response: &[u8],
        _now: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        rustls::crypto::verify_tls12_signature(message, cert, dss, algorithms)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        rustls::crypto::verify_tls13_signature(message, cert, dss, algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.0.signature_verification_algorithms.supported_schemes()
    }
}

/// Reads a certificate from a PEM file.
fn read_certificate(path: &Path) -> Result<CertificateDer<'static>> {
    CertificateDer::from_pem_file(path).map_err(|e| file_error(path, &e.to_string()))
}

/// Error for a file without the expected certificate or key.
fn file_error(path: &Path, reason: &str) -> Error {
    Error::Key {
        step: "read keys",
        reason: format!(
            "{}: {reason}; `cowslipford keys` creates the required files",
            path.display()
        ),
    }
}
