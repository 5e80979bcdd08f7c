// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "decoders.h"

#include <algorithm>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

/// @file
/// Runs every decoder on its seeds and on a fixed number of changes of them: the same inputs on every machine, built by
/// any compiler.

namespace
{

using sedgecart::FuzzDecoder;

/// Inputs for each decoder beside the seeds. All together they take some seconds.
constexpr int kInputs = 20000;
constexpr uint64_t kSeed = 20261203;

/// Most changes to one seed.
constexpr int kMostChanges = 6;

/// Longest run of bytes that one change writes or takes out.
constexpr std::size_t kMostRun = 16;

std::vector<std::string> seedsOf(const std::filesystem::path& _folder)
{
	std::vector<std::filesystem::path> paths;
	for (const auto& file : std::filesystem::directory_iterator(_folder))
	{
		paths.push_back(file.path());
	}
	std::sort(paths.begin(), paths.end());
	std::vector<std::string> seeds;
	for (const std::filesystem::path& path : paths)
	{
		std::ifstream in(path, std::ios::binary);
		seeds.emplace_back(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
	}
	return seeds;
}

/// Changes seeds: bytes are set, taken out, put in, repeated or taken from another seed.
class Changer
{
public:
	explicit Changer(std::vector<std::string> _seeds) : seeds_(std::move(_seeds)), random_(kSeed)
	{
	}

	std::string next()
	{
		std::string text = seeds_[below(seeds_.size())];
		const std::size_t changes = 1 + below(kMostChanges);
		for (std::size_t change = 0; change < changes; ++change)
		{
			changeOnce(text);
		}
		return text;
	}

private:
	enum Kind
	{
		Set,
		TakeOut,
		PutIn,
		Repeat,
		Cut,
		Splice,

		Count
	};

	/// The generator's own numbers, since distributions differ between libraries.
	std::size_t below(std::size_t _most)
	{
		return 0 == _most ? 0 : static_cast<std::size_t>(random_() % _most);
	}

	void changeOnce(std::string& _text)
	{
		const std::size_t at = below(_text.size() + 1);
		const std::size_t run = std::min(1 + below(kMostRun), _text.size() - at);
		const auto byte = static_cast<char>(below(256));
		switch (below(Kind::Count))
		{
		case Kind::Set:
			_text.replace(at, std::min<std::size_t>(1, run), 1, byte);
			break;
		case Kind::TakeOut:
			_text.erase(at, run);
			break;
		case Kind::PutIn:
			_text.insert(at, 1 + below(kMostRun), byte);
			break;
		case Kind::Repeat:
			_text.insert(at, _text.substr(at, run));
			break;
		case Kind::Cut:
			_text.resize(at);
			break;
		default:
			const std::string& other = seeds_[below(seeds_.size())];
			_text = _text.substr(0, at) + other.substr(below(other.size() + 1));
			break;
		}
	}

	std::vector<std::string> seeds_;
	std::mt19937_64 random_;
};

bool runAll(const FuzzDecoder& _decoder, const std::filesystem::path& _corpus)
{
	const std::vector<std::string> seeds = seedsOf(_corpus / _decoder.name);
	if (seeds.empty())
	{
		std::cerr << _decoder.name << ": no seeds\n";
		return false;
	}
	for (const std::string& seed : seeds)
	{
		_decoder.run(seed);
	}
	Changer changer(seeds);
	for (int input = 0; input < kInputs; ++input)
	{
		_decoder.run(changer.next());
	}
	std::cout << _decoder.name << ": " << seeds.size() << " seeds, " << kInputs << " changes\n";
	return true;
}

} // namespace

int main(int _count, char** _arguments)
{
	if (2 != _count)
	{
		std::cerr << "usage: fuzz_driver FOLDER\n";
		return 1;
	}
	for (const FuzzDecoder& decoder : sedgecart::fuzzDecoders())
	{
		if (!runAll(decoder, _arguments[1]))
		{
			return 1;
		}
	}
	return 0;
}
