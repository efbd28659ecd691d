//! The opening exchange that proves the cluster key to both sides.
//!
//! 1. The initiator sends its cluster name and a nonce.
//! 2. The responder answers with a nonce of its own and its proof.
//! 3. The initiator checks that proof and sends its own.
//! 4. The responder checks it and accepts.
//!
//! A proof is the HMAC-SHA-256 under the cluster key over the side's label,
//! the cluster name, the format of the exchange and both nonces. Neither side can
//! replay the other's proof, since the labels differ. Either side may answer
//! with a refusal in place of its step.
//!
//! The end of each nonce names the formats that its side speaks ([`SpokenFormats`]), so that
//! both know the newest common one without a further message, and nobody on the path can
//! change that without breaking the proofs. A build that knows one format only takes it for
//! random bytes, and its own nonce names none.

use error_stack::Report;
use hmac::Mac;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    format::Format,
    frame::{self, FrameKind, HEADER_BYTES, OPENING_FORMAT},
};
use rkyv::{Archive, Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::{key::ClusterIdentity, spoken_formats::SpokenFormats, traffic::Traffic};

/// Longest handshake message, in bytes.
const MAX_HANDSHAKE_BYTES: usize = 1024;
/// Bytes of a nonce.
const NONCE_BYTES: usize = 32;
/// Bytes of a proof.
const PROOF_BYTES: usize = 32;

const INITIATOR_LABEL: &[u8] = b"linnethitch initiator";
const RESPONDER_LABEL: &[u8] = b"linnethitch responder";

type Nonce = [u8; NONCE_BYTES];

/// One step of the exchange.
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
    /// In place of any step: the other side does not belong here.
    Refused { reason: String },
}

fn refused(reason: impl Into<String>) -> Report<ErrorKind> {
    Report::new(ErrorKind::PeerRefused).attach(reason.into())
}

fn io_failed(error: &std::io::Error) -> Report<ErrorKind> {
    Report::new(ErrorKind::Io).attach(format!("handshake: {error}"))
}

fn fresh_nonce(formats: SpokenFormats) -> Result<Nonce, Report<ErrorKind>> {
    let mut nonce = [0; NONCE_BYTES];
    getrandom::fill(&mut nonce)
        .map_err(|error| Report::new(ErrorKind::Io).attach(error.to_string()))?;
    formats.write_to(&mut nonce);
    Ok(nonce)
}

/// What a proof covers besides the label.
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

    /// Compares in constant time.
    fn verify(&self, label: &[u8], proof: &[u8; PROOF_BYTES]) -> Result<(), Report<ErrorKind>> {
        self.mac(label)
            .verify_slice(proof)
            .map_err(|_| refused("the peer does not hold this cluster's key"))
    }
}

/// Runs the side that opened the TCP connection, and tells the format that both sides speak.
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
    let formats = SpokenFormats::up_to(newest);
    let initiator = fresh_nonce(formats)?;
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

/// Runs the side that accepted the TCP connection, and tells the format that both sides speak.
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
        return Err(refused("the peer did not open with its cluster name"));
    };
    if cluster != identity.name {
        let report = refused(format!("a peer of cluster {cluster:?}"));
        return Err(refuse_peer(stream, report, "another cluster", traffic).await);
    }
    let formats = SpokenFormats::up_to(newest);
    let common = match formats.common_with(&nonce) {
        Ok(common) => common,
        Err(report) => return Err(refuse_peer(stream, report, "no common format", traffic).await),
    };
    let transcript = Transcript {
        identity,
        initiator: nonce,
        responder: fresh_nonce(formats)?,
    };
    let challenge = HandshakeMessage::Challenge {
        nonce: transcript.responder,
        proof: transcript.proof(RESPONDER_LABEL),
    };
    write_message(stream, &challenge, traffic).await?;
    let HandshakeMessage::Proof { proof } = read_message(stream, traffic).await? else {
        return Err(refused("the peer did not answer the challenge"));
    };
    if let Err(report) = transcript.verify(INITIATOR_LABEL, &proof) {
        return Err(refuse_peer(stream, report, "wrong cluster key", traffic).await);
    }
    write_message(stream, &HandshakeMessage::Accepted, traffic).await?;
    Ok(common)
}

/// Tells the peer that it is refused, as far as it still listens.
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
        Err(_) => report.attach("the refusal could not be delivered"),
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
        .map_err(|error| io_failed(&error))?;
    stream.flush().await.map_err(|error| io_failed(&error))?;
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
        .map_err(|error| io_failed(&error))?;
    let header = frame::read_header(&header)
        .map_err(|report| report.change_context(ErrorKind::PeerRefused))?;
    if header.kind != FrameKind::Handshake || header.length > MAX_HANDSHAKE_BYTES {
        return Err(refused("the peer does not speak the handshake"));
    }
    let mut payload = vec![0; header.length];
    stream
        .read_exact(&mut payload)
        .await
        .map_err(|error| io_failed(&error))?;
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
