// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <wire/json.h>
#include <wire/sedgecart.pb.h>

#include <cppunit/extensions/HelperMacros.h>
#include <google/protobuf/struct.pb.h>

#include <string>

namespace sedgecart
{

namespace
{

/// @returns an object whose only field holds arrays within arrays.
std::string nestedArrays(std::size_t _depth, const std::string& _name = "\"a\"")
{
	return '{' + _name + ':' + std::string(_depth - 1, '[') + std::string(_depth - 1, ']') + '}';
}

/// @returns true if the text can be read into a message that has no field of its names.
bool isRead(const std::string& _text)
{
	wire::VmList list;
	return fromJson(_text, list);
}

} // namespace

class JsonTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(JsonTest);
	CPPUNIT_TEST(nestingIsLimited);
	CPPUNIT_TEST(deepestTextIsReadWhole);
	CPPUNIT_TEST(bracketsInStringsAreText);
	CPPUNIT_TEST(quotesHideNoNesting);
	CPPUNIT_TEST_SUITE_END();

public:
	/// Guards against texts of some ten kilobytes whose nested arrays take the parser a minute.
	void nestingIsLimited()
	{
		CPPUNIT_ASSERT(isRead(nestedArrays(kMaxJsonDepth)));
		CPPUNIT_ASSERT(!isRead(nestedArrays(kMaxJsonDepth + 1)));
		CPPUNIT_ASSERT(!isRead(nestedArrays(20000)));
		CPPUNIT_ASSERT(!isRead("{\"a\":[]," + nestedArrays(20000).substr(1)));
	}

	void deepestTextIsReadWhole()
	{
		google::protobuf::Struct fields;
		CPPUNIT_ASSERT(fromJson(nestedArrays(kMaxJsonDepth), fields));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), fields.fields().count("a"));
	}

	void bracketsInStringsAreText()
	{
		const std::string brackets(100, '[');
		CPPUNIT_ASSERT(isRead("{\"a\":\"" + brackets + "\"}"));
		CPPUNIT_ASSERT(isRead("{\"a\":\"\\\"" + brackets + "\"}"));
		CPPUNIT_ASSERT(isRead("{\"a\":\"\\\\\",\"b\":\"" + brackets + "\"}"));
	}

	/// The parser takes strings in single quotes as well, in which a double quote is a letter.
	void quotesHideNoNesting()
	{
		CPPUNIT_ASSERT(isRead(nestedArrays(2, R"('"')")));
		CPPUNIT_ASSERT(!isRead(nestedArrays(1000, R"('"')")));
		CPPUNIT_ASSERT(!isRead(nestedArrays(1000, R"("'")")));
		CPPUNIT_ASSERT(!isRead(nestedArrays(1000, R"("\"")")));
		CPPUNIT_ASSERT(!isRead(nestedArrays(1000, R"("\\")")));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonTest);

} // namespace sedgecart
