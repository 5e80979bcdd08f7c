// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "httpstore.h"

#include <openssl/evp.h>

#include <algorithm>
#include <map>

namespace sedgecart
{

namespace
{

constexpr std::chrono::milliseconds kLookAgain{5};

constexpr const char* kTopics[] = {"keyed.op", "keyed.servers", "keyed.sedgecart-nodes", "keyed.sedgecart-layout",
                                   "keyed.sedgecart-blocked"};
static_assert(KeyedTopic::Count == std::size(kTopics), "each topic needs its name");

constexpr std::size_t kLengthBytes = 4; //!< Of a record.
constexpr std::size_t kOffsetBytes = 8;
constexpr unsigned kByteBits = 8;

std::string queryValue(const std::string& _target, const std::string& _name)
{
	const std::size_t at = _target.find(_name + '=');
	const std::size_t from = at + _name.size() + 1;
	return std::string::npos == at ? std::string() : _target.substr(from, _target.find('&', from) - from);
}

std::string base64(const std::string& _bytes)
{
	std::string text(4 * ((_bytes.size() + 2) / 3) + 1, '\0'); // three bytes are four letters; a zero at the end
	const int size =
	    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
	                    reinterpret_cast<const unsigned char*>(_bytes.data()), static_cast<int>(_bytes.size()));
	text.resize(static_cast<std::size_t>(size));
	return text;
}

std::string bigEndian(uint64_t _number, std::size_t _bytes)
{
	std::string text;
	for (std::size_t byte = _bytes; 0 < byte; --byte)
	{
		text += static_cast<char>(_number >> (kByteBits * (byte - 1)) & 0xFFU);
	}
	return text;
}

void answer(ServerConnection& _node, uint16_t _status, const std::string& _type, const std::string& _body)
{
	ResponseStart start;
	start.status = _status;
	start.headers.add("Content-Type", _type);
	start.length = _body.size();
	_node.start(start, _body);
	_node.finish();
}

void answerJson(ServerConnection& _node, uint16_t _status, const std::string& _body)
{
	answer(_node, _status, "application/json", _body);
}

} // namespace

HttpStore::HttpStore(MemoryStore& _store)
    : store_(_store),
      server_(
          [this](const std::shared_ptr<ServerConnection>& _node, const ServerRequest& _request)
          {
	          onRequest(_node, _request);
          })
{
}

std::string HttpStore::address() const
{
	return server_.address();
}

void HttpStore::onRequest(const std::shared_ptr<ServerConnection>& _node, const ServerRequest& _request)
{
	const std::string& target = _request.head.target;
	const auto* const name = std::find(std::begin(kTopics), std::end(kTopics), queryValue(target, "topic"));
	if (std::end(kTopics) == name)
	{
		answerJson(*_node, 404, "{}");
		return;
	}
	const auto topic = static_cast<KeyedTopic::Enum>(name - std::begin(kTopics));
	if (0 == target.find("/sedgecart/log-newest"))
	{
		answerNewest(*_node, topic);
	}
	else if (0 == target.find("/sedgecart/log-read"))
	{
		const std::chrono::milliseconds wait(std::stoll("0" + queryValue(target, "wait_ms")));
		answerRead(
		    Read{_node, topic, std::stoull(queryValue(target, "from")), std::chrono::steady_clock::now() + wait});
	}
	else
	{
		append(*_node, topic, _request);
	}
}

void HttpStore::answerNewest(ServerConnection& _node, KeyedTopic::Enum _topic) const
{
	const std::vector<KeyedRecord> records = store_.records(_topic);
	std::map<std::string, const KeyedRecord*> newest;
	for (const KeyedRecord& record : records)
	{
		newest[record.key] = &record;
	}
	std::string items;
	for (const auto& row : newest)
	{
		if (!row.second->removed)
		{
			items += items.empty() ? "" : ",";
			items += R"({"key_file":")" + row.first + R"(","value":")" + base64(row.second->value) + R"(","offset":)" +
			         std::to_string(row.second->offset.value) + '}';
		}
	}
	answerJson(_node, 200,
	           R"({"items":[)" + items + R"(],"truncated":false,"end":)" + std::to_string(records.size()) + '}');
}

void HttpStore::answerRead(const Read& _read)
{
	const std::vector<KeyedRecord> records = store_.records(_read.topic);
	if (records.size() <= _read.from && std::chrono::steady_clock::now() < _read.end)
	{
		server_.postAfter(kLookAgain,
		                  [this, _read]
		                  {
			                  answerRead(_read);
		                  });
		return;
	}
	std::string body = bigEndian(records.size(), kOffsetBytes) + bigEndian(0, kOffsetBytes);
	for (std::size_t offset = _read.from; offset < records.size(); ++offset)
	{
		const KeyedRecord& record = records[offset];
		body += bigEndian(1 + record.key.size() + record.value.size(), kLengthBytes);
		body += static_cast<char>(record.key.size()) + record.key + record.value;
	}
	answer(*_read.node, 200, "application/octet-stream", body);
}

/// Takes the one record that a call of a node holds.
void HttpStore::append(ServerConnection& _node, KeyedTopic::Enum _topic, const ServerRequest& _request)
{
	const std::string onlyAt = queryValue(_request.head.target, "as_of");
	const std::size_t end = store_.records(_topic).size();
	if (!onlyAt.empty() && std::stoull(onlyAt) != end)
	{
		answerJson(_node, 412, R"({"end":)" + std::to_string(end) + '}');
		return;
	}
	const std::size_t keySize = static_cast<unsigned char>(_request.body.at(kLengthBytes));
	const std::size_t keyAt = kLengthBytes + 1;
	const Offset offset =
	    store_.put(_topic, _request.body.substr(keyAt, keySize), _request.body.substr(keyAt + keySize));
	answerJson(_node, 200,
	           R"({"offset":)" + std::to_string(offset.value) + R"(,"end":)" + std::to_string(offset.value + 1) + '}');
}

} // namespace sedgecart
