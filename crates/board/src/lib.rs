//! board
