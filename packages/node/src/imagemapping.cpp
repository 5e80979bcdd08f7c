// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "imagemapping_p.h"

#include <wire/mapping.h>
#include <wire/sedgecart.pb.h>

namespace sedgecart
{

namespace
{

constexpr const char* kPlaceholderId = "image"; // records require an id, objects of an image have none

} // namespace

wire::ConfigImage toWire(const ConfigImage& _image, const std::string& _identity)
{
	wire::ConfigImage made;
	made.set_next(_image.next.value);
	made.set_identity(_identity);
	for (const KeptObject& object : _image.objects)
	{
		wire::KeptObject& kept = *made.add_objects();
		*kept.mutable_record() = toWire(object.change);
		kept.mutable_record()->set_id(kPlaceholderId);
		kept.set_revision(object.revision);
	}
	for (const KeptReport& report : _image.reports)
	{
		wire::KeptReport& kept = *made.add_reports();
		kept.set_id(report.id);
		kept.set_outcome(report.outcome);
		kept.set_winner(report.winner);
		kept.set_offset(report.offset);
	}
	return made;
}

bool fromWire(const wire::ConfigImage& _from, ConfigImage& _image)
{
	_image = ConfigImage();
	_image.next = Offset{_from.next()};
	for (const wire::KeptObject& kept : _from.objects())
	{
		KeptObject object;
		if (!fromWire(kept.record(), object.change))
		{
			return false;
		}
		object.revision = kept.revision();
		_image.objects.push_back(std::move(object));
	}
	for (const wire::KeptReport& kept : _from.reports())
	{
		_image.reports.push_back(KeptReport{kept.id(), kept.outcome(), kept.winner(), kept.offset()});
	}
	return true;
}

} // namespace sedgecart
