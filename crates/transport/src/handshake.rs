//! The handshake, in which both sides prove that they have the cluster key.
//!
//! 1. The initiator sends its cluster name and a nonce.
//! 2. The responder answers with its own nonce and its proof.
//! 3. The initiator checks the proof and sends its own proof.
//! 4. The responder checks that proof and accepts.
//!
//! A proof is the HMAC-SHA-256 under the cluster key over the side's label,
//! the cluster name, the format of the handshake and both nonces. Neither side can
//! replay the other's proof, since the labels differ. Either side may send a
//! refusal instead of its step.
//!
//! The end of each nonce contains the formats that its side supports ([`SupportedFormats`]).
//! Both sides thus determine the newest common format without a further message, and an
//! attacker on the path cannot change the formats without invalidating the proofs. A build
//! that supports only the first format treats these bytes as random, and its own nonce
//! contains no formats.

use error_stack::Report;
use hmac::Mac;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    format::Format,
    frame::{self, FrameKind, HEADER_BYTES, OPENING_FORMAT},
};
use rkyv::{Archive, Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::{key::ClusterIdentity, supported_formats::SupportedFormats, traffic::Traffic};

/// Maximum handshake message, in bytes.
const MAX_HANDSHAKE_BYTES: usize = 1024;
/// Bytes of a nonce.
const NONCE_BYTES: usize = 32;
/// Bytes of a proof.
const PROOF_BYTES: usize = 32;

const INITIATOR_LABEL: &[u8] = b"linnethitch initiator";
const RESPONDER_LABEL: &[u8] = b"linnethitch responder";

type Nonce = [u8; NONCE_BYTES];

/// One step of the handshake.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
enum HandshakeMessage {
    /// Step 1.
    Open {
        cluster: String,
        nonce: [u8; NONCE_BYTES],
    },
    /// Step 2.
    Challenge {
        nonce: [u8; NONCE_BYTES],
        proof: [u8; PROOF_BYTES],
    },
    /// Step 3.
    Proof { proof: [u8; PROOF_BYTES] },
    /// Step 4.
    Accepted,
    /// Instead of any step: the sender refuses the other side.
    Refused { reason: String },
}

fn refused(reason: impl Into<String>) -> Report<ErrorKind> {
    Report::new(ErrorKind::PeerRefused).attach(reason.into())
}

fn handshake_failed(error: &std::io::Error) -> Report<ErrorKind> {
    Report::new(ErrorKind::Io).attach(format!("handshake: {error}"))
}

fn generate_nonce(formats: SupportedFormats) -> Result<Nonce, Report<ErrorKind>> {
    let mut nonce = [0; NONCE_BYTES];
    getrandom::fill(&mut nonce)
        .map_err(|error| Report::new(ErrorKind::Io).attach(error.to_string()))?;
    formats.write_to(&mut nonce);
    Ok(nonce)
}

/// The data that a proof covers, except the label.
struct Transcript<'a> {
    identity: &'a ClusterIdentity,
    initiator: Nonce,
    responder: Nonce,
}

impl Transcript<'_> {
    fn mac(&self, label: &[u8]) -> hmac::Hmac<sha2::Sha256> {
        self.identity.key.authenticate(&[
            label,
            self.identity.name.as_bytes(),
            &OPENING_FORMAT.number().to_le_bytes(),
            &self.initiator,
            &self.responder,
        ])
    }

    fn proof(&self, label: &[u8]) -> [u8; PROOF_BYTES] {
        self.mac(label).finalize().into_bytes().into()
    }

    /// Checks a proof in constant time.
    fn verify(&self, label: &[u8], proof: &[u8; PROOF_BYTES]) -> Result<(), Report<ErrorKind>> {
        self.mac(label)
            .verify_slice(proof)
            .map_err(|_| refused("the peer does not have the key of this cluster"))
    }
}

/// Runs the handshake on the side that opened the TCP connection; returns the newest format
/// that both sides support.
///
/// # Errors
/// `PeerRefused` when either side refuses the other, `Io` when the stream breaks.
pub(crate) async fn initiate<S>(
    stream: &mut S,
    identity: &ClusterIdentity,
    newest: Format,
    traffic: &Traffic,
) -> Result<Format, Report<ErrorKind>>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let formats = SupportedFormats::up_to(newest);
    let initiator = generate_nonce(formats)?;
    let open = HandshakeMessage::Open {
        cluster: identity.name.clone(),
        nonce: initiator,
    };
    write_message(stream, &open, traffic).await?;
    let HandshakeMessage::Challenge { nonce, proof } = read_message(stream, traffic).await? else {
        return Err(refused("the peer did not answer with a challenge"));
    };
    let transcript = Transcript {
        identity,
        initiator,
        responder: nonce,
    };
    if let Err(report) = transcript.verify(RESPONDER_LABEL, &proof) {
        return Err(refuse_peer(stream, report, "wrong cluster key", traffic).await);
    }
    let common = match formats.common_with(&nonce) {
        Ok(common) => common,
        Err(report) => return Err(refuse_peer(stream, report, "no common format", traffic).await),
    };
    let proof = transcript.proof(INITIATOR_LABEL);
    write_message(stream, &HandshakeMessage::Proof { proof }, traffic).await?;
    match read_message(stream, traffic).await? {
        HandshakeMessage::Accepted => Ok(common),
        _ => Err(refused("the peer did not accept the proof")),
    }
}

/// Runs the handshake on the side that accepted the TCP connection; returns the newest format
/// that both sides support.
///
/// # Errors
/// `PeerRefused` when either side refuses the other, `Io` when the stream breaks.
pub(crate) async fn respond<S>(
    stream: &mut S,
    identity: &ClusterIdentity,
    newest: Format,
    traffic: &Traffic,
) -> Result<Format, Report<ErrorKind>>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let HandshakeMessage::Open { cluster, nonce } = read_message(stream, traffic).await? else {
        return Err(refused(
            "the peer did not start the handshake with its cluster name",
        ));
    };
    if cluster != identity.name {
        let report = refused(format!("the peer belongs to cluster {cluster:?}"));
        return Err(refuse_peer(stream, report, "another cluster", traffic).await);
    }
    let formats = SupportedFormats::up_to(newest);
    let common = match formats.common_with(&nonce) {
        Ok(common) => common,
        Err(report) => return Err(refuse_peer(stream, report, "no common format", traffic).await),
    };
    let transcript = Transcript {
        identity,
        initiator: nonce,
        responder: generate_nonce(formats)?,
    };
    let challenge = HandshakeMessage::Challenge {
        nonce: transcript.responder,
        proof: transcript.proof(RESPONDER_LABEL),
    };
    write_message(stream, &challenge, traffic).await?;
    let HandshakeMessage::Proof { proof } = read_message(stream, traffic).await? else {
        return Err(refused(
            "the peer did not answer the challenge with a proof",
        ));
    };
    if let Err(report) = transcript.verify(INITIATOR_LABEL, &proof) {
        return Err(refuse_peer(stream, report, "wrong cluster key", traffic).await);
    }
    write_message(stream, &HandshakeMessage::Accepted, traffic).await?;
    Ok(common)
}

/// Sends a refusal to the peer, if the connection still permits it.
async fn refuse_peer<S>(
    stream: &mut S,
    report: Report<ErrorKind>,
    reason: &str,
    traffic: &Traffic,
) -> Report<ErrorKind>
where
    S: AsyncWrite + Unpin,
{
    let message = HandshakeMessage::Refused {
        reason: reason.to_owned(),
    };
    match write_message(stream, &message, traffic).await {
        Ok(()) => report,
        Err(_) => report.attach("the refusal could not be sent to the peer"),
    }
}

async fn write_message<S>(
    stream: &mut S,
    message: &HandshakeMessage,
    traffic: &Traffic,
) -> Result<(), Report<ErrorKind>>
where
    S: AsyncWrite + Unpin,
{
    let bytes = frame::write_frame(FrameKind::Handshake, OPENING_FORMAT, message)?;
    stream
        .write_all(&bytes)
        .await
        .map_err(|error| handshake_failed(&error))?;
    stream
        .flush()
        .await
        .map_err(|error| handshake_failed(&error))?;
    traffic.count_sent(FrameKind::Handshake, bytes.len());
    Ok(())
}

async fn read_message<S>(
    stream: &mut S,
    traffic: &Traffic,
) -> Result<HandshakeMessage, Report<ErrorKind>>
where
    S: AsyncRead + Unpin,
{
    let mut header = [0; HEADER_BYTES];
    stream
        .read_exact(&mut header)
        .await
        .map_err(|error| handshake_failed(&error))?;
    let header = frame::read_header(&header)
        .map_err(|report| report.change_context(ErrorKind::PeerRefused))?;
    if header.kind != FrameKind::Handshake || header.length > MAX_HANDSHAKE_BYTES {
        return Err(refused(
            "the peer sent a frame that is not a handshake message",
        ));
    }
    let mut payload = vec![0; header.length];
    stream
        .read_exact(&mut payload)
        .await
        .map_err(|error| handshake_failed(&error))?;
    traffic.count_received(FrameKind::Handshake, HEADER_BYTES + header.length);
    let message = frame::read_payload(&header, &payload)
        .map_err(|report| report.change_context(ErrorKind::PeerRefused))?;
    match message {
        HandshakeMessage::Refused { reason } => {
            Err(refused(format!("refused by the peer: {reason}")))
        }
        message => Ok(message),
    }
}
