//! A small JSON value and its parser.

use std::collections::BTreeMap;

/// A JSON value. Numbers are kept as text, so that large integers stay exact; what no stand-in reads is dropped.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool,
    Number(String),
    Text(String),
    List,
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a complete text; `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    /// Returns a field of an object.
    pub fn get(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn as_u64(&self) -> Option<u64> {
        match self {
            Self::Number(text) => text.parse().ok(),
            _ => None,
        }
    }

    pub fn as_text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    /// Returns an integer field, or 0.
    pub fn number(&self, name: &str) -> u64 {
        self.get(name).and_then(Self::as_u64).unwrap_or(0)
    }

    /// Returns a text field, or an empty text.
    pub fn text(&self, name: &str) -> &str {
        self.get(name).and_then(Self::as_text).unwrap_or("")
    }
}

/// Quotes a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn eat(&mut self, text: &str) -> Option<()> {
        let rest = self.bytes.get(self.at..)?;
        rest.starts_with(text.as_bytes())
            .then(|| self.at += text.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.bytes.get(self.at)? {
            b'n' => self.eat("null").map(|()| Json::Null),
            b't' => self.eat("true").map(|()| Json::Bool),
            b'f' => self.eat("false").map(|()| Json::Bool),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut is_first = true;
                loop {
                    self.space();
                    if self.eat("]").is_some() {
                        return Some(Json::List);
                    }
                    if !is_first {
                        self.eat(",")?;
                    }
                    is_first = false;
                    self.value()?;
                }
            }
            b'{' => {
                self.at += 1;
                let mut fields = BTreeMap::new();
                loop {
                    self.space();
                    if self.eat("}").is_some() {
                        return Some(Json::Object(fields));
                    }
                    if !fields.is_empty() {
                        self.eat(",")?;
                        self.space();
                    }
                    let key = self.string()?;
                    self.space();
                    self.eat(":")?;
                    fields.insert(key, self.value()?);
                }
            }
            _ => {
                let start = self.at;
                let is_part = |b: &u8| b.is_ascii_digit() || b"+-.eE".contains(b);
                while self.bytes.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse::<f64>().ok()?;
                Some(Json::Number(text.to_owned()))
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.eat("\"")?;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escape = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let c = match escape {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let hex =
                                std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            char::from_u32(u32::from_str_radix(hex, 16).ok()?)?
                        }
                        other => other as char,
                    };
                    out.extend(c.to_string().into_bytes());
                }
                byte => out.push(byte),
            }
        }
    }
}
