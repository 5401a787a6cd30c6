//! Splits the text of a scenario file into lines of tokens.

use std::fmt;

use serde_json::Value;
use winnow::LocatingSlice;
use winnow::ModalResult;
use winnow::Parser;
use winnow::ascii::line_ending;
use winnow::ascii::till_line_ending;
use winnow::combinator::alt;
use winnow::combinator::cut_err;
use winnow::combinator::eof;
use winnow::combinator::opt;
use winnow::combinator::preceded;
use winnow::combinator::repeat;
use winnow::error::StrContext;
use winnow::error::StrContextValue;
use winnow::token::take_till;
use winnow::token::take_while;

type Input<'a> = LocatingSlice<&'a str>;

/// A syntax error in a scenario file, with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ParseError {
    /// Line number, from 1.
    pub(crate) line: usize,
    /// Column in bytes, from 1.
    pub(crate) column: usize,
    pub(crate) message: String,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.message)
    }
}

impl std::error::Error for ParseError {}

/// A token of a line.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Token {
    /// A bare word.
    Word(String),
    /// `name=value`.
    Pair(String, String),
    /// A JSON object, which may span lines.
    Json(Value),
}

/// A token with its byte offset in the text.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SpannedToken {
    pub(crate) token: Token,
    pub(crate) offset: usize,
}

/// Splits a text into lines of tokens, without empty lines and comments.
///
/// # Errors
///
/// Returns the first [`ParseError`].
pub(crate) fn tokenize(text: &str) -> Result<Vec<Vec<SpannedToken>>, ParseError> {
    let input = LocatingSlice::new(text);
    let lines = scenario_file.parse(input).map_err(|e| {
        let error = e.inner().to_string();
        let message = error.replace('\n', ", ");
        error_at(text, e.offset(), message)
    })?;
    Ok(lines.into_iter().filter(|line| !line.is_empty()).collect())
}

/// Creates an error at a byte offset of a text.
pub(crate) fn error_at(text: &str, offset: usize, message: impl Into<String>) -> ParseError {
    let preceding = text.get(..offset).unwrap_or(text);
    let line_start = preceding.rfind('\n').map_or(0, |n| n + 1);
    ParseError {
        line: preceding.matches('\n').count() + 1,
        column: preceding.len() - line_start + 1,
        message: message.into(),
    }
}

fn scenario_file(input: &mut Input<'_>) -> ModalResult<Vec<Vec<SpannedToken>>> {
    let mut lines = Vec::new();
    loop {
        let line: Vec<SpannedToken> =
            repeat(0.., preceded(whitespace, spanned_token)).parse_next(input)?;
        lines.push(line);
        (whitespace, opt(('#', till_line_ending))).parse_next(input)?;
        let end_of_line = alt((eof.value(true), line_ending.value(false)));
        let expected =
            StrContextValue::Description("a word, name=value, a JSON object or a comment");
        if cut_err(end_of_line)
            .context(StrContext::Expected(expected))
            .parse_next(input)?
        {
            return Ok(lines);
        }
    }
}

fn whitespace(input: &mut Input<'_>) -> ModalResult<()> {
    take_while(0.., [' ', '\t']).void().parse_next(input)
}

fn spanned_token(input: &mut Input<'_>) -> ModalResult<SpannedToken> {
    let (token, span) = alt((json_token, pair, word.map(Token::Word)))
        .with_span()
        .parse_next(input)?;
    let offset = span.start;
    Ok(SpannedToken { token, offset })
}

fn word(input: &mut Input<'_>) -> ModalResult<String> {
    let is_word_char = |c: char| c.is_ascii_alphanumeric() || "-_./*,:".contains(c);
    take_while(1.., is_word_char)
        .map(str::to_owned)
        .parse_next(input)
}

fn pair(input: &mut Input<'_>) -> ModalResult<Token> {
    let name = take_while(1.., |c: char| c.is_ascii_lowercase() || c == '_');
    let quoted =
        ('"', take_till(0.., ['"', '\n']), '"').map(|(_, text, _): (_, &str, _)| text.to_owned());
    let value = alt((quoted, word));
    let expected = StrContextValue::Description("a value");
    let value = cut_err(value).context(StrContext::Expected(expected));
    (name, '=', value)
        .map(|(name, _, value): (&str, _, _)| Token::Pair(name.to_owned(), value))
        .parse_next(input)
}

fn json_token(input: &mut Input<'_>) -> ModalResult<Token> {
    let _: &str = winnow::combinator::peek("{").parse_next(input)?;
    let expected = StrContextValue::Description("a JSON object");
    cut_err(json_object)
        .context(StrContext::Expected(expected))
        .parse_next(input)
}

/// Parses the text up to the brace that closes the first one.
fn json_object(input: &mut Input<'_>) -> ModalResult<Token> {
    let text: &str = input.as_ref();
    let mut values = serde_json::Deserializer::from_str(text).into_iter::<Value>();
    let Some(Ok(value)) = values.next() else {
        return winnow::combinator::fail.parse_next(input);
    };
    let len = values.byte_offset();
    winnow::token::take(len).parse_next(input)?;
    Ok(Token::Json(value))
}
