#include <algorithm>
#include <array>
#include <cstring>
#include <strings.h>

#include <fmt/format.h>

#include "net.h"

namespace Medlarramp::Serving {

namespace {

constexpr std::array HopByHopNames = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
    "content-length",
    "expect",
};

constexpr size_t FieldFramingBytes = 3; ///< of a header field: colon and line end; a space after the colon may be left out
constexpr unsigned MinStatus = 100;
constexpr unsigned MaxStatus = 599;

HttpReader &readerOf(http_parser *parser)
{
    return *static_cast<HttpReader *>(parser->data);
}

void appendHeaders(std::string &text, const HttpHeaders &headers)
{
    for (const HttpHeader &header : headers) {
        text += header.m_name;
        text += ": ";
        text += header.m_value;
        text += "\r\n";
    }
}

std::string formatStatusLine(int status)
{
    return fmt::format("HTTP/1.1 {} {}\r\n", status, http_status_str(static_cast<http_status>(status)));
}

/** RFC 9112, 5.1: white space between a name and its colon would be read as another header by others. */
bool hasBrokenName(const HttpHeaders &headers)
{
    return std::any_of(
        headers.begin(), headers.end(), [](const HttpHeader &header) { return header.m_name.find_first_of(" \t") != std::string::npos; });
}

bool mayOmitBody(const std::string &method)
{
    return method == "GET" || method == "HEAD" || method == "DELETE" || method == "OPTIONS";
}

} // namespace

bool equalHeaderNames(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

size_t occupiedBytes(const HttpHeaders &headers)
{
    size_t bytes = headers.capacity() * sizeof(HttpHeader);
    for (const HttpHeader &header : headers) {
        bytes += header.m_name.capacity() + header.m_value.capacity();
    }
    return bytes;
}

std::optional<std::string_view> findHeader(const HttpHeaders &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (equalHeaderNames(header.m_name, name)) {
            return header.m_value;
        }
    }
    return std::nullopt;
}

bool isHopByHop(std::string_view name)
{
    return std::any_of(HopByHopNames.begin(), HopByHopNames.end(), [name](const char *other) { return equalHeaderNames(name, other); });
}

std::vector<std::string> connectionTokens(const HttpHeaders &headers)
{
    std::vector<std::string> tokens;
    for (const HttpHeader &header : headers) {
        if (!equalHeaderNames(header.m_name, "connection")) {
            continue;
        }
        std::string_view rest = header.m_value;
        while (!rest.empty()) {
            const size_t comma = std::min(rest.find(','), rest.size());
            std::string_view token = rest.substr(0, comma);
            while (!token.empty() && token.front() == ' ') {
                token.remove_prefix(1);
            }
            while (!token.empty() && token.back() == ' ') {
                token.remove_suffix(1);
            }
            tokens.emplace_back(token);
            rest.remove_prefix(std::min(rest.size(), comma + 1));
        }
    }
    return tokens;
}

std::string formatRequest(const std::string &method, const std::string &target, const HttpHeaders &headers, std::string_view body)
{
    std::string text = fmt::format("{} {} HTTP/1.1\r\n", method, target);
    appendHeaders(text, headers);
    if (!body.empty() || !mayOmitBody(method)) {
        text += fmt::format("Content-Length: {}\r\n", body.size());
    }
    text += "\r\n";
    text += body;
    return text;
}

std::string formatAnswer(int status, const HttpHeaders &headers, std::string_view body, bool keepAlive)
{
    std::string text = formatAnswerHead(status, headers, body.size(), keepAlive);
    text += body;
    return text;
}

std::string formatAnswerHead(int status, const HttpHeaders &headers, size_t bodyBytes, bool keepAlive)
{
    std::string text = formatStatusLine(status);
    appendHeaders(text, headers);
    if (status != HTTP_STATUS_NO_CONTENT && status != HTTP_STATUS_NOT_MODIFIED) {
        text += fmt::format("Content-Length: {}\r\n", bodyBytes);
    }
    text += keepAlive ? "\r\n" : "Connection: close\r\n\r\n";
    return text;
}

std::string formatChunkedHead(int status, const HttpHeaders &headers, bool keepAlive)
{
    std::string text = formatStatusLine(status);
    appendHeaders(text, headers);
    text += "Transfer-Encoding: chunked\r\n";
    text += keepAlive ? "\r\n" : "Connection: close\r\n\r\n";
    return text;
}

std::string formatChunk(std::string_view data)
{
    std::string text = fmt::format("{:x}\r\n", data.size());
    text += data;
    text += "\r\n";
    return text;
}

HttpReader::HttpReader(http_parser_type type, size_t maxHeadBytes, size_t maxBodyBytes)
    : m_type(type), m_maxHeadBytes(maxHeadBytes), m_maxBodyBytes(maxBodyBytes)
{
    http_parser_settings_init(&m_settings);
    m_settings.on_url = onUrl;
    m_settings.on_header_field = onField;
    m_settings.on_header_value = onValue;
    m_settings.on_headers_complete = onHeadersComplete;
    m_settings.on_body = onBody;
    m_settings.on_message_complete = onMessageComplete;
    reset();
}

void HttpReader::setLimits(size_t maxHeadBytes, size_t maxBodyBytes)
{
    m_maxHeadBytes = maxHeadBytes;
    m_maxBodyBytes = maxBodyBytes;
}

void HttpReader::reset()
{
    http_parser_init(&m_parser, m_type);
    m_parser.data = this;
    m_state = ParseState::Head;
    m_started = false;
    m_framed = false;
    m_status = 0;
    m_method.clear();
    m_target.clear();
    // Their memory is released as well: a pooled connection must not keep that of its largest message.
    m_headers = HttpHeaders();
    m_body = std::string();
    m_keepAlive = true;
    m_expectContinue = false;
    m_headBytes = 0;
    m_lastWasValue = true;
}

size_t HttpReader::feed(std::string_view data)
{
    if (m_state != ParseState::Head && m_state != ParseState::Body) {
        return 0;
    }
    m_started = m_started || !data.empty();
    const size_t used = http_parser_execute(&m_parser, &m_settings, data.data(), data.size());
    if (m_state == ParseState::Done) {
        return used;
    }
    if (HTTP_PARSER_ERRNO(&m_parser) != HPE_OK && m_state != ParseState::HeadTooLarge && m_state != ParseState::BodyTooLarge) {
        m_state = ParseState::Failed;
    }
    return used;
}

void HttpReader::feedEnd()
{
    if (m_state == ParseState::Body && !m_framed) {
        http_parser_execute(&m_parser, &m_settings, nullptr, 0);
    }
    if (m_state != ParseState::Done && m_started) {
        m_state = ParseState::Failed;
    }
}

size_t HttpReader::occupiedBytes() const
{
    // A string may have twice the capacity that it needs.
    return m_headers.capacity() * sizeof(HttpHeader) + 2 * m_headBytes + m_body.size();
}

bool HttpReader::countHead(size_t bytes)
{
    m_headBytes += bytes;
    if (m_headBytes <= m_maxHeadBytes) {
        return true;
    }
    m_state = ParseState::HeadTooLarge;
    return false;
}

int HttpReader::onUrl(http_parser *parser, const char *data, size_t length)
{
    HttpReader &self = readerOf(parser);
    self.m_target.append(data, length);
    return self.countHead(length) ? 0 : 1;
}

int HttpReader::onField(http_parser *parser, const char *data, size_t length)
{
    HttpReader &self = readerOf(parser);
    if (self.m_state != ParseState::Head) {
        return 0; // trailers are dropped
    }
    if (self.m_lastWasValue) {
        self.m_headers.emplace_back();
        self.m_lastWasValue = false;
        self.m_headBytes += FieldFramingBytes;
    }
    self.m_headers.back().m_name.append(data, length);
    return self.countHead(length) ? 0 : 1;
}

int HttpReader::onValue(http_parser *parser, const char *data, size_t length)
{
    HttpReader &self = readerOf(parser);
    if (self.m_state != ParseState::Head || self.m_headers.empty()) {
        return 0;
    }
    self.m_lastWasValue = true;
    self.m_headers.back().m_value.append(data, length);
    return self.countHead(length) ? 0 : 1;
}

int HttpReader::onHeadersComplete(http_parser *parser)
{
    HttpReader &self = readerOf(parser);
    if (hasBrokenName(self.m_headers)) {
        self.m_state = ParseState::Failed;
        return -1;
    }
    // RFC 9110, 15: other numbers are no status, so what follows is no answer.
    const bool isStatus = parser->status_code >= MinStatus && parser->status_code <= MaxStatus;
    if (self.m_type == HTTP_RESPONSE && !isStatus) {
        self.m_state = ParseState::Failed;
        return -1;
    }
    self.m_state = ParseState::Body;
    self.m_status = parser->status_code;
    self.m_keepAlive = http_should_keep_alive(parser) != 0;
    const bool chunked = (parser->flags & F_CHUNKED) != 0;
    self.m_framed = chunked || (parser->flags & F_CONTENTLENGTH) != 0;
    if (self.m_type == HTTP_REQUEST) {
        self.m_method = http_method_str(static_cast<http_method>(parser->method));
        const std::optional<std::string_view> expect = findHeader(self.m_headers, "expect");
        self.m_expectContinue = expect && equalHeaderNames(*expect, "100-continue");
    }
    parser->upgrade = 0; // no other protocol is spoken; the message is read as an ordinary one
    if (!chunked && self.m_framed && parser->content_length > self.m_maxBodyBytes) {
        self.m_state = ParseState::BodyTooLarge;
        return -1;
    }
    if (!chunked && self.m_framed && self.m_type == HTTP_REQUEST) {
        // Growing step by step needs up to three times the size for a moment. Pages that are never written take no memory.
        self.m_body.reserve(parser->content_length);
    }
    return 0;
}

int HttpReader::onBody(http_parser *parser, const char *data, size_t length)
{
    HttpReader &self = readerOf(parser);
    if (self.m_body.size() + length > self.m_maxBodyBytes) {
        self.m_state = ParseState::BodyTooLarge;
        return 1;
    }
    self.m_body.append(data, length);
    return 0;
}

int HttpReader::onMessageComplete(http_parser *parser)
{
    readerOf(parser).m_state = ParseState::Done;
    http_parser_pause(parser, 1);
    return 0;
}

} // namespace Medlarramp::Serving
