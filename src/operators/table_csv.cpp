/// CSV with the usual quoting: fields with commas, quotes or line ends are
/// quoted, and quotes inside them are doubled.
#include "operators/table_csv.hpp"

#include "libsycamorespar/table_policy.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace sycamorespar {

namespace {

constexpr std::string_view row_heading = "row";
constexpr char revision_mark = '@';
constexpr std::string_view domain_prefix = "domain:";
constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";
constexpr std::size_t max_csv_bytes = 1024 * 1024;

using csv_record = std::vector<std::string>;

error csv_error(std::string reason)
{
    return {"csv.read", "", std::move(reason)};
}

void append_field(std::string& line, std::string const& field)
{
    if (field.find_first_of(",\"\r\n") == std::string::npos) {
        line += field;
        return;
    }
    line += '"';
    for (char const letter : field) {
        if (letter == '"')
            line += '"';
        line += letter;
    }
    line += '"';
}

void append_record(std::string& text, csv_record const& record)
{
    for (std::size_t i = 0; i < record.size(); ++i) {
        if (i != 0)
            text += ',';
        append_field(text, record[i]);
    }
    text += '\n';
}

/// Splits a text into records and fields.
class csv_parser
{
public:
    explicit csv_parser(std::string_view text) : text_(text) {}

    result<std::vector<csv_record>> parse()
    {
        while (at_ < text_.size()) {
            if (!read_field())
                return csv_error(
                    "record " + std::to_string(records_.size() + 1) +
                    ": misplaced or open quote");
            end_field();
        }
        if (!record_.empty())
            records_.push_back(std::move(record_));
        return std::move(records_);
    }

private:
    bool at_field_end() const
    {
        return at_ == text_.size() || text_[at_] == ',' || text_[at_] == '\n' ||
               text_[at_] == '\r';
    }

    bool read_field()
    {
        field_.clear();
        if (at_ < text_.size() && text_[at_] == '"')
            return read_quoted();
        while (!at_field_end()) {
            if (text_[at_] == '"')
                return false;
            field_ += text_[at_++];
        }
        return true;
    }

    bool read_quoted()
    {
        for (++at_; at_ < text_.size(); ++at_) {
            if (text_[at_] != '"') {
                field_ += text_[at_];
                continue;
            }
            ++at_;
            if (at_field_end())
                return true;
            if (text_[at_] != '"')
                return false;
            field_ += '"';
        }
        return false;
    }

    /// Stores the field and skips its comma or line end.
    void end_field()
    {
        record_.push_back(field_);
        if (at_ == text_.size())
            return;
        if (text_[at_] == ',') {
            ++at_;
            // A trailing comma is followed by an empty field.
            if (at_ == text_.size())
                record_.emplace_back();
            return;
        }
        if (text_[at_] == '\r' && text_.substr(at_ + 1).starts_with('\n'))
            ++at_;
        ++at_;
        records_.push_back(std::exchange(record_, {}));
    }

    std::string_view text_;
    std::size_t at_ = 0;
    std::string field_;
    csv_record record_;
    std::vector<csv_record> records_;
};

result<table_revision> read_first_heading(std::string_view heading)
{
    if (heading == row_heading)
        return table_revision{};
    auto const mark = heading.find(revision_mark);
    if (mark == std::string_view::npos ||
        heading.substr(0, mark) != row_heading)
        return csv_error("the first heading must be row or row@REVISION");
    auto const digits = heading.substr(mark + 1);
    table_revision revision;
    auto const read = std::from_chars(
        digits.data(), digits.data() + digits.size(), revision.value);
    if (read.ec != std::errc{} || read.ptr != digits.data() + digits.size())
        return csv_error("the first heading must be row or row@REVISION");
    return revision;
}

result<table_column> read_heading(std::string const& heading)
{
    if (heading.starts_with(domain_prefix))
        return table_column{
            heading.substr(domain_prefix.size()), column_kind::failure_domain};
    auto const kind = known_column_kind(heading);
    if (!kind)
        return csv_error("unknown heading \"" + heading + "\"");
    return table_column{heading, *kind};
}

/// Parses the headings into the table's revision and columns.
result<done> read_headings(csv_record const& record, table& into)
{
    auto const revision = read_first_heading(record.front());
    if (!ok(revision))
        return failure(revision);
    into.revision = value(revision);
    for (std::size_t i = 1; i < record.size(); ++i) {
        auto const column = read_heading(record[i]);
        if (!ok(column))
            return failure(column);
        into.columns.push_back(value(column));
    }
    return done{};
}

void read_cells(csv_record const& record, table& into)
{
    row_id const row{record.front()};
    into.rows.push_back(row);
    for (std::size_t i = 1; i < record.size(); ++i) {
        if (!record[i].empty())
            into.cells[{row, into.columns[i - 1].name}] = {
                record[i], into.revision};
    }
}

bool is_blank(csv_record const& record)
{
    return std::all_of(record.begin(), record.end(), [](auto const& field) {
        return field.empty();
    });
}

/// Spreadsheets may save in other encodings, which would corrupt letters.
bool is_utf8(std::string_view text)
{
    try {
        nlohmann::json(std::string(text)).dump();
    } catch (nlohmann::json::exception const&) {
        return false;
    }
    return true;
}

result<table> read_records(std::vector<csv_record> const& records)
{
    table read;
    if (records.empty())
        return csv_error("the file is empty");
    auto const headings = read_headings(records.front(), read);
    if (!ok(headings))
        return failure(headings);
    for (std::size_t i = 1; i < records.size(); ++i) {
        // Spreadsheets append blank lines.
        if (is_blank(records[i]))
            continue;
        if (records[i].size() != records.front().size())
            return csv_error(
                "record " + std::to_string(i + 1) + " has " +
                std::to_string(records[i].size()) + " fields in place of " +
                std::to_string(records.front().size()));
        read_cells(records[i], read);
    }
    return read;
}

} // namespace

std::string write_table_csv(table const& from)
{
    std::string text;
    csv_record headings{
        std::string(row_heading) + revision_mark +
        std::to_string(from.revision.value)};
    for (auto const& column : from.columns) {
        bool const is_domain = column.kind == column_kind::failure_domain;
        headings.push_back(
            (is_domain ? std::string(domain_prefix) : "") + column.name);
    }
    append_record(text, headings);
    for (auto const& row : from.rows) {
        csv_record record{row.value};
        for (auto const& column : from.columns)
            record.push_back(cell_text(from, {row, column.name}));
        append_record(text, record);
    }
    return text;
}

result<table> read_table_csv(std::string_view text)
{
    if (text.size() > max_csv_bytes)
        return csv_error("the file is too long");
    if (!is_utf8(text))
        return csv_error("the file is not UTF-8: save it as CSV UTF-8");
    if (text.starts_with(byte_order_mark))
        text.remove_prefix(byte_order_mark.size());
    auto const records = csv_parser(text).parse();
    if (!ok(records))
        return failure(records);
    auto read = read_records(value(records));
    if (!ok(read))
        return read;
    auto const policy = read_policy(value(read));
    if (auto const* faults = std::get_if<std::vector<cell_fault>>(&policy)) {
        auto const& first = faults->front();
        return csv_error(
            "row \"" + first.at.row.value + "\", column \"" + first.at.column +
            "\": " + first.reason);
    }
    return read;
}

table_edit difference(table const& current, table const& wanted)
{
    table_edit edit;
    edit.base = wanted.revision;
    for (auto const& column : current.columns) {
        if (find_column(wanted, column.name) == nullptr)
            edit.remove_columns.push_back(column.name);
    }
    for (auto const& column : wanted.columns) {
        if (find_column(current, column.name) == nullptr)
            edit.add_columns.push_back(column);
    }
    for (auto const& row : current.rows) {
        if (!has_row(wanted, row))
            edit.remove_rows.push_back(row);
    }
    for (auto const& row : wanted.rows) {
        if (!has_row(current, row))
            edit.add_rows.push_back(row);
        for (auto const& column : wanted.columns) {
            cell_address const at{row, column.name};
            auto const& text = cell_text(wanted, at);
            if (text != cell_text(current, at))
                edit.changes.push_back({at, text});
        }
    }
    return edit;
}

table first_revision(table from)
{
    from.revision = table_revision{1};
    for (auto& [at, cell] : from.cells)
        cell.changed_at = from.revision;
    return from;
}

} // namespace sycamorespar
