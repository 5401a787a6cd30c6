//! Takes the tokens of a line one by one, in the order that a step needs.

use std::str::FromStr;

use serde::de::DeserializeOwned;
use serde_json::Value;

use super::parse;
use super::parse::ParseError;
use super::parse::SpannedToken;
use super::parse::Token;

/// The tokens of a line that no parser has taken yet.
pub(crate) struct LineReader<'a> {
    remaining: Vec<SpannedToken>,
    text: &'a str,
    /// Byte offset of the token that was taken last.
    last_offset: usize,
}

impl<'a> LineReader<'a> {
    pub(crate) fn new(line: &[SpannedToken], text: &'a str) -> Self {
        Self {
            last_offset: line.first().map_or(0, |s| s.offset),
            remaining: line.to_vec(),
            text,
        }
    }

    /// Number of the line, from 1.
    pub(crate) fn line_number(&self) -> usize {
        parse::error_at(self.text, self.last_offset, "").line
    }

    /// Creates an error at the token that was taken last.
    pub(crate) fn error(&self, message: impl Into<String>) -> ParseError {
        parse::error_at(self.text, self.last_offset, message)
    }

    /// Removes and returns the first token that satisfies a condition.
    fn take(&mut self, is_expected: impl Fn(&Token) -> bool) -> Option<Token> {
        let index = self.remaining.iter().position(|s| is_expected(&s.token))?;
        let taken = self.remaining.remove(index);
        self.last_offset = taken.offset;
        Some(taken.token)
    }

    /// Takes the next word; `expected` names it in the error message.
    pub(crate) fn take_word(&mut self, expected: &str) -> Result<String, ParseError> {
        match self.take(|t| matches!(t, Token::Word(_))) {
            Some(Token::Word(word)) => Ok(word),
            _ => Err(self.error(format!("expected {expected}"))),
        }
    }

    /// Takes the word `name`; returns whether the line has it.
    pub(crate) fn take_flag(&mut self, name: &str) -> bool {
        self.take(|t| matches!(t, Token::Word(w) if w == name))
            .is_some()
    }

    /// Takes the pair `name` and returns its value.
    pub(crate) fn take_pair(&mut self, name: &str) -> Option<String> {
        match self.take(|t| matches!(t, Token::Pair(n, _) if n == name)) {
            Some(Token::Pair(_, value)) => Some(value),
            _ => None,
        }
    }

    /// Takes all remaining pairs.
    pub(crate) fn take_pairs(&mut self) -> Vec<(String, String)> {
        let mut pairs = Vec::new();
        while let Some(Token::Pair(name, value)) = self.take(|t| matches!(t, Token::Pair(..))) {
            pairs.push((name, value));
        }
        pairs
    }

    /// Takes the pair `name` and parses its value as a number.
    pub(crate) fn take_number<T: FromStr>(&mut self, name: &str) -> Result<Option<T>, ParseError> {
        let Some(value) = self.take_pair(name) else {
            return Ok(None);
        };
        match value.parse() {
            Ok(number) => Ok(Some(number)),
            Err(_) => Err(self.error(format!("{name} must be a number, not {value}"))),
        }
    }

    /// Takes the next word and parses it as the JSON name of a value, such as an enum variant, or
    /// as a number.
    pub(crate) fn take_json_word<T: DeserializeOwned>(
        &mut self,
        expected: &str,
    ) -> Result<T, ParseError> {
        let word = self.take_word(expected)?;
        from_json_name(&word).ok_or_else(|| self.error(format!("{word} is not {expected}")))
    }

    /// Takes the pair `name` and parses its value as the JSON name of a value, or as a number.
    pub(crate) fn take_json_pair<T: DeserializeOwned>(
        &mut self,
        name: &str,
    ) -> Result<Option<T>, ParseError> {
        let Some(value) = self.take_pair(name) else {
            return Ok(None);
        };
        let parsed =
            from_json_name(&value).ok_or_else(|| self.error(format!("{value} is not {name}")))?;
        Ok(Some(parsed))
    }

    /// Takes the next JSON object, or reads it from the file in the pair `file`.
    pub(crate) fn take_document(&mut self) -> Result<Value, ParseError> {
        if let Some(path) = self.take_pair("file") {
            let text = std::fs::read_to_string(&path);
            let text = text.map_err(|e| self.error(format!("{path}: {e}")))?;
            return zinnia_types::parse_jsonc(&text)
                .map_err(|e| self.error(format!("{path}: {e}")));
        }
        match self.take(|t| matches!(t, Token::Json(_))) {
            Some(Token::Json(value)) => Ok(value),
            _ => Err(self.error("expected a JSON object")),
        }
    }

    /// Checks that no token remains.
    pub(crate) fn expect_end(&mut self) -> Result<(), ParseError> {
        match self.remaining.first() {
            None => Ok(()),
            Some(extra) => Err(parse::error_at(self.text, extra.offset, "unexpected token")),
        }
    }
}

/// Deserialises a word as a JSON string or, failing that, as a JSON number.
fn from_json_name<T: DeserializeOwned>(take_word: &str) -> Option<T> {
    let text = Value::String(take_word.to_owned());
    let take_number = || serde_json::from_str(take_word).ok();
    serde_json::from_value(text).ok().or_else(take_number)
}
