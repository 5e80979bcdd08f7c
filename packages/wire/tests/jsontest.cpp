// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <wire/json.h>
#include <wire/sedgecart.pb.h>

#include <cppunit/extensions/HelperMacros.h>
#include <google/protobuf/struct.pb.h>

#include <algorithm>
#include <string>

namespace sedgecart
{

namespace
{

/// @returns a text within a number of arrays.
std::string inArrays(std::size_t _depth, const std::string& _text)
{
	return std::string(_depth, '[') + _text + std::string(_depth, ']');
}

/// @returns a text within a number of objects.
std::string inObjects(std::size_t _depth, const std::string& _text)
{
	std::string begin;
	for (std::size_t level = 0; level < _depth; ++level)
	{
		begin += "{\"o\":";
	}
	return begin + _text + std::string(_depth, '}');
}

/// @returns a list whose second VM has a field more, with a value.
std::string listWith(const std::string& _value, const std::string& _name = "\"later\"")
{
	return R"({"vms":[{"name":"a"},{"name":"b",)" + _name + ':' + _value + R"(},{"name":"c"}]})";
}

/// @returns the names of the VMs; "-" if the text cannot be read.
std::string namesIn(const std::string& _text)
{
	wire::VmList list;
	if (!fromJson(_text, list))
	{
		return "-";
	}
	std::string names;
	for (const wire::Vm& vm : list.vms())
	{
		names += vm.name();
	}
	return names;
}

} // namespace

class JsonTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(JsonTest);
	CPPUNIT_TEST(oneDeepValueLosesNoOther);
	CPPUNIT_TEST(deepValuesAreNull);
	CPPUNIT_TEST(unclosedTextsAreNotRead);
	CPPUNIT_TEST(bracketsInStringsAreText);
	CPPUNIT_TEST(quotesHideNoNesting);
	CPPUNIT_TEST_SUITE_END();

public:
	/// Guards against a list that is lost with one item, and against arrays that take the parser a minute.
	void oneDeepValueLosesNoOther()
	{
		for (const std::size_t depth : {1U, 29U, 30U, 97U, 1000U, 30000U})
		{
			CPPUNIT_ASSERT_EQUAL(std::string("abc"), namesIn(listWith(inArrays(depth, ""))));
			CPPUNIT_ASSERT_EQUAL(std::string("abc"),
			                     namesIn(listWith(inObjects(std::min(depth, std::size_t(3000)), "1"))));
		}
	}

	void deepValuesAreNull()
	{
		for (const std::string& text : {"{\"a\":" + inArrays(1000, "1") + ",\"b\":2}", inObjects(1000, "1")})
		{
			google::protobuf::Struct fields;
			CPPUNIT_ASSERT(fromJson(text, fields));
			CPPUNIT_ASSERT_EQUAL(std::string::npos, toJson(fields).find('1'));
			CPPUNIT_ASSERT(std::string::npos != toJson(fields).find("null"));
		}
		google::protobuf::Struct deepest;
		CPPUNIT_ASSERT(fromJson(inObjects(kMaxJsonDepth, "1"), deepest));
		CPPUNIT_ASSERT(std::string::npos != toJson(deepest).find('1'));
	}

	void unclosedTextsAreNotRead()
	{
		CPPUNIT_ASSERT_EQUAL(std::string("-"), namesIn(std::string(64000, '[')));
		CPPUNIT_ASSERT_EQUAL(std::string("-"), namesIn("{\"a\":" + std::string(64000, '[')));
		CPPUNIT_ASSERT_EQUAL(std::string("-"), namesIn(listWith(std::string(64000, '['))));
		CPPUNIT_ASSERT_EQUAL(std::string("-"), namesIn(std::string(64000, ']')));
	}

	void bracketsInStringsAreText()
	{
		const std::string brackets(100, '[');
		for (const std::string& text : {brackets, "\\\"" + brackets, "\\\\\\\"" + brackets, "'" + brackets})
		{
			google::protobuf::Struct fields;
			CPPUNIT_ASSERT(fromJson("{\"a\":\"" + text + "\"}", fields));
			CPPUNIT_ASSERT(std::string::npos != fields.fields().at("a").string_value().find(brackets));
		}
	}

	/// The parser takes strings in single quotes as well, in which a double quote is a letter.
	void quotesHideNoNesting()
	{
		for (const char* const name : {R"('"')", R"("'")", R"("\"")", R"("\\")", R"('\'"')"})
		{
			CPPUNIT_ASSERT_EQUAL(std::string("abc"), namesIn(listWith(inArrays(30000, ""), name)));
			google::protobuf::Struct fields;
			CPPUNIT_ASSERT(fromJson(listWith(inArrays(30000, ""), name), fields));
		}
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonTest);

} // namespace sedgecart
