// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_NODE_IMAGEMAPPING_P_H_HEADER_GUARD
#define SEDGECART_NODE_IMAGEMAPPING_P_H_HEADER_GUARD

#include <core/configimage.h>

#include <string>

namespace sedgecart
{

namespace wire
{
class ConfigImage;
} // namespace wire

/// Converts a configuration image to its protobuf message.
/// @param _identity identity of the log that the image comes from.
wire::ConfigImage toWire(const ConfigImage& _image, const std::string& _identity);

/// Converts a protobuf message to a configuration image.
/// @returns false if one of its records cannot be read by this version.
bool fromWire(const wire::ConfigImage& _from, ConfigImage& _image);

} // namespace sedgecart

#endif // SEDGECART_NODE_IMAGEMAPPING_P_H_HEADER_GUARD
