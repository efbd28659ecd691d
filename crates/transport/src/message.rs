//! Message types that are sent in frames, and their frame kinds.

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    attach::{ControlMessage, GatewayMessage, PeerMessage},
    first_format::FirstDatagram,
    format::Format,
    frame::{self, FrameHeader, FrameKind},
    slots::GatewayDatagram,
};

/// A message type that is sent in frames of one kind.
pub trait WireMessage: Sized + Send + 'static {
    /// The frame kind of the message type.
    const KIND: FrameKind;

    /// Encodes the message as a frame, header and payload, in a format.
    ///
    /// # Errors
    /// `BodyTooLarge` when the message exceeds the frame limit, `InvalidState` when the format
    /// has no such message.
    fn to_frame(&self, format: Format) -> Result<Vec<u8>, Report<ErrorKind>>;

    /// Checks and decodes a payload in the format of the header.
    ///
    /// # Errors
    /// `Corrupted` or `MalformedRequest` when the payload is not a message of this type.
    fn from_payload(header: &FrameHeader, payload: &[u8]) -> Result<Self, Report<ErrorKind>>;
}

impl WireMessage for GatewayMessage {
    const KIND: FrameKind = FrameKind::Gateway;

    fn to_frame(&self, format: Format) -> Result<Vec<u8>, Report<ErrorKind>> {
        match self {
            GatewayMessage::Call { call, body } if format < Format::NEWEST => {
                let body = body.clone().in_format(format)?;
                let call = *call;
                frame::write_frame(Self::KIND, format, &GatewayMessage::Call { call, body })
            }
            _ => frame::write_frame(Self::KIND, format, self),
        }
    }

    fn from_payload(header: &FrameHeader, payload: &[u8]) -> Result<Self, Report<ErrorKind>> {
        frame::read_payload(header, payload)
    }
}

impl WireMessage for ControlMessage {
    const KIND: FrameKind = FrameKind::Control;

    fn to_frame(&self, format: Format) -> Result<Vec<u8>, Report<ErrorKind>> {
        match self {
            ControlMessage::Answer { call, body } if format < Format::NEWEST => {
                let body = body.clone().in_format(format);
                let call = *call;
                frame::write_frame(Self::KIND, format, &ControlMessage::Answer { call, body })
            }
            _ => frame::write_frame(Self::KIND, format, self),
        }
    }

    fn from_payload(header: &FrameHeader, payload: &[u8]) -> Result<Self, Report<ErrorKind>> {
        Ok(match frame::read_payload(header, payload)? {
            ControlMessage::Answer { call, body } => ControlMessage::Answer {
                call,
                body: body.into_current_format(),
            },
            other => other,
        })
    }
}

impl WireMessage for PeerMessage {
    const KIND: FrameKind = FrameKind::Peer;

    fn to_frame(&self, format: Format) -> Result<Vec<u8>, Report<ErrorKind>> {
        match self {
            PeerMessage::Forwarded { call, body } if format < Format::NEWEST => {
                let body = body.clone().in_format(format);
                let call = *call;
                frame::write_frame(Self::KIND, format, &PeerMessage::Forwarded { call, body })
            }
            PeerMessage::Forward { call, body } if format < Format::NEWEST => {
                let body = body.clone().in_format(format)?;
                let call = *call;
                frame::write_frame(Self::KIND, format, &PeerMessage::Forward { call, body })
            }
            _ => frame::write_frame(Self::KIND, format, self),
        }
    }

    fn from_payload(header: &FrameHeader, payload: &[u8]) -> Result<Self, Report<ErrorKind>> {
        Ok(match frame::read_payload(header, payload)? {
            PeerMessage::Forwarded { call, body } => PeerMessage::Forwarded {
                call,
                body: body.into_current_format(),
            },
            other => other,
        })
    }
}

impl WireMessage for GatewayDatagram {
    const KIND: FrameKind = FrameKind::Slots;

    fn to_frame(&self, format: Format) -> Result<Vec<u8>, Report<ErrorKind>> {
        match format {
            Format::First => {
                let first = FirstDatagram::try_from(self.clone())?;
                frame::write_frame(Self::KIND, format, &first)
            }
            Format::Second | Format::Third | Format::Fourth => {
                frame::write_frame(Self::KIND, format, self)
            }
        }
    }

    fn from_payload(header: &FrameHeader, payload: &[u8]) -> Result<Self, Report<ErrorKind>> {
        match header.format {
            Format::First => frame::read_payload::<FirstDatagram>(header, payload).map(Into::into),
            Format::Second | Format::Third | Format::Fourth => frame::read_payload(header, payload),
        }
    }
}
