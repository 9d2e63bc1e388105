//! A model engine that prefills and decodes at modelled speed.
