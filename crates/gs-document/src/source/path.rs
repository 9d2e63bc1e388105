//! Paths of values within a file.

use std::fmt;

use serde::{Serialize, Serializer};

/// One segment of a [`FieldPath`].
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PathSegment {
    /// A field of an object, or a key of a map.
    Field(String),
    /// The index in a list, from 0.
    Index(usize),
}

/// The path of a value from the root of a file, displayed as `callers.desk.models[1]`.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct FieldPath(Vec<PathSegment>);

impl FieldPath {
    /// Returns the path of a field of the object at this path.
    pub fn field(&self, name: &str) -> Self {
        self.join(PathSegment::Field(name.to_owned()))
    }

    /// Returns the path of an item of the list at this path.
    pub fn index(&self, index: usize) -> Self {
        self.join(PathSegment::Index(index))
    }

    /// Returns the segments, starting at the root.
    pub fn segments(&self) -> &[PathSegment] {
        &self.0
    }

    fn join(&self, segment: PathSegment) -> Self {
        let mut segments = self.0.clone();
        segments.push(segment);
        Self(segments)
    }
}

impl fmt::Display for FieldPath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return formatter.write_str("(root)");
        }
        for (position, segment) in self.0.iter().enumerate() {
            match segment {
                PathSegment::Field(name) if position == 0 => write!(formatter, "{name}")?,
                PathSegment::Field(name) => write!(formatter, ".{name}")?,
                PathSegment::Index(index) => write!(formatter, "[{index}]")?,
            }
        }
        Ok(())
    }
}

impl Serialize for FieldPath {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}
