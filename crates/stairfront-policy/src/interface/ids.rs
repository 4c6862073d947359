//! Numbers that name things of one balancer.

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    };
}
id!(/// A client request at this balancer; never reused.
    RequestId(u32));
id!(/// A server of the endpoint list: a cache, or the origin where it is listed. Opaque.
    CacheId(u64));
id!(/// The hash of what a request is about; requests for one key are placed together.
    Key(u64));
id!(/// Position in `Settings::classes`.
    ClassId(u8));
id!(/// Position in `Settings::tenants`.
    TenantId(u32));
id!(/// An availability zone: machines that can be lost together.
    Zone(u8));
id!(/// A small group of caches that discard each other's repeats of a keyed request.
    Cell(u16));
id!(/// A machine kind.
    Kind(u16));
